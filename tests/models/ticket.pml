/* One ticket, minted by node 0, and a caller that sends it to nodes 0 and 1, again and again
 * (docs/DESIGN.md, "At most once").
 *
 * Copies of the request wait as long as they like, and may be forwarded, doubled or lost. Node 0 may
 * pause anywhere and is replaced by another incarnation once. Its record may lose the answer, and is
 * dropped when the ticket has expired.
 *
 * Never: the call is run twice; it is run, and NotRun was said of it before or after.
 */

#define COPIES 3

byte incarnation = 1; /* of node 0; the ticket names 1 */
bool used = false; /* node 0 has a record of the ticket */
bool accepted = false;
bool sent = false;
bool refused = false;
bool expired = false; /* the ticket's sequence number is below the floor */
byte direct = COPIES; /* copies that may still reach node 0 */
byte elsewhere = COPIES; /* copies that may still reach node 1 */
byte runs = 0;
bool saidNotRun = false;

#ifdef WITHOUT_INCARNATION
#define OWN true
#else
#define OWN (incarnation == 1)
#endif
#ifdef WITHOUT_RECORD
#define NEW true
#else
#define NEW (!used)
#endif
#ifdef WITHOUT_FLOOR
#define YOUNG true
#else
#define YOUNG (!expired)
#endif

inline invariant()
{
    assert(runs <= 1);
    assert(!(saidNotRun && runs > 0))
}

inline arrive()
{
    direct--;
    if
    :: OWN && NEW && YOUNG -> used = true; accepted = true; sent = false; refused = false
    :: else /* attached, answered again, or Unknown */
    fi;
    invariant()
}

active proctype world()
{
    do
    :: d_step { direct > 0 -> arrive() }
    /* Node 1 forwards, and the copy may come late or never. It can't reach node 0: Unknown. */
    :: d_step { elsewhere > 0 -> elsewhere--; direct++ }
    :: d_step {
        elsewhere > 0 ->
        elsewhere--;
#ifdef WITHOUT_UNKNOWN
        saidNotRun = true;
#endif
        invariant()
    }
    :: d_step { accepted && !sent && !refused -> sent = true; runs++; invariant() }
    :: d_step {
        accepted && !sent && !refused ->
        saidNotRun = true;
#ifdef WITHOUT_FINAL_REFUSAL
        used = false;
        accepted = false;
#else
        refused = true;
#endif
        invariant()
    }
    /* The record goes when the ticket has expired, if the call isn't in flight. */
    :: d_step { !expired -> expired = true }
    :: d_step { expired && (sent || refused) -> used = false; accepted = false }
    :: d_step {
        incarnation == 1 ->
        incarnation = 2;
        used = false;
        accepted = false;
        expired = false
    }
    :: direct == 0 && elsewhere == 0 -> break
    od
}
