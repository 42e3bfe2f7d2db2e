/* Two lists whose majorities don't meet (docs/DESIGN.md, "At most once").
 *
 * VMs 0, 1 and 2 are listed; then 3 and 4 take the place of 0 and 1, which go on, cut off from the
 * others and from the platform, and serve callers. Candidate 0 has the votes of 0 and 1, candidate 3
 * those of 3, 4 and, as both lists name it, 2. Either may look at its list again at any time while it
 * reaches the platform, or never.
 *
 * Never: both hold the lease at once.
 */

#define LEASE 2
#define MAX_AGE 2 /* of a list that nobody vouched for */
#define MEMORY (2 * MAX_AGE + LEASE) /* how long a replaced list counts */
#define LAST 13

byte now = 1;
byte changedAt = 0; /* the platform lists the new VMs since then; 0: not yet */
byte confirmed[2] = 1; /* when the platform last vouched for the list: of candidate 0, of candidate 3 */
byte knownSince = 0; /* candidate 3 has watched the list since then */
byte seenOld = 0; /* when candidate 3 last saw the first list; 0: never */
byte lease[2] = 0; /* until when */

#ifdef WITHOUT_LIST_AGE
#define FRESH(c) true
#else
#define FRESH(c) (now < confirmed[c] + MAX_AGE)
#endif
#ifdef WITHOUT_RECENT_LISTS
#define COMPLETE true
#define OLD_LIST_AGREES true
#else
#define COMPLETE (now >= knownSince + MEMORY)
#define OLD_LIST_AGREES (seenOld == 0 || now >= seenOld + MEMORY)
#endif

/* Asked at each use, not at the vote alone: a list that was confirmed after a gap ends the lease. */
#define HOLDS_0 (lease[0] > now && FRESH(0))
#define HOLDS_3 (lease[1] > now && FRESH(1) && COMPLETE && OLD_LIST_AGREES)

active proctype world()
{
    do
    :: d_step { now < LAST -> now++ }
    :: d_step { changedAt == 0 -> changedAt = now }
    /* Candidate 0 reaches the platform until it is replaced. */
    :: d_step { changedAt == 0 -> confirmed[0] = now }
    /* The process on VM 3 starts, before or after it is listed, and watches. */
    :: d_step {
        knownSince == 0 ->
        knownSince = now;
        confirmed[1] = now;
        if
        :: changedAt == 0 -> seenOld = now
        :: else
        fi
    }
    :: d_step {
        knownSince != 0 ->
        if
        :: now > confirmed[1] + MAX_AGE -> knownSince = now
        :: else
        fi;
        confirmed[1] = now;
        if
        :: changedAt == 0 -> seenOld = now
        :: else
        fi
    }
    /* 0 and 1 vote for 0. */
    :: d_step { lease[0] = now + LEASE; assert(!(HOLDS_0 && HOLDS_3)) }
    /* 2, 3 and 4 vote for 3; of the first list, that is 2 alone. */
    :: d_step {
        changedAt != 0 && knownSince != 0 && COMPLETE && OLD_LIST_AGREES ->
        lease[1] = now + LEASE;
        assert(!(HOLDS_0 && HOLDS_3))
    }
    :: now == LAST -> break
    od
}
