/* One shard of a key home, one key, and candidates for its lease (docs/DESIGN.md, "At most once").
 *
 * Any two majorities have a voter in common. The model has that one voter; a candidate's own vote is
 * always its own, and the other votes only make a lease harder to get. The lists that differ, where
 * majorities don't meet, are in key_home_lists.pml.
 *
 * Any step may be followed by any pause: time passes between every two steps; a request, a vote, a
 * handover or a copy of the key may be handled at any later time, again and again, or never. Each
 * machine's time of day is ahead by 0 or 1; the caller's may be far off.
 *
 * Never: the key is run twice; it is run, and NotRun was said of it before or after.
 *
 * Each guard can be taken out with -D; the model then finds the violation.
 */

#ifndef LEASE
#define LEASE 2
#endif
#ifndef SKEW
#define SKEW 1 /* largest difference between two machines' times of day */
#endif
#define CANDIDATES 3
#define NOBODY 3
#define NEVER 0
#ifndef LAST
#define LAST 9 /* time stops here */
#endif

byte now = 1;
byte ahead[CANDIDATES]; /* of the candidates' time of day */
byte issued = 0; /* time of issue that the key names; 0: not issued yet */

/* The voter: to whom the vote is promised, and until when. */
byte holder = NOBODY;
byte until = NEVER;
byte otherUntil = NEVER; /* end of the last promise to another than the holder */
byte quiet = NEVER; /* after a restart */
bool restarted = false;

/* Messages in flight: time of sending of the newest request, and of what the newest vote answers. */
byte request[CANDIDATES] = NEVER;
byte vote[CANDIDATES] = NEVER;
byte noOtherPromiseSince[CANDIDATES] = NEVER; /* what that vote says: no promise to another since */

/* Candidates. */
byte counted[CANDIDATES] = NEVER; /* until when the vote counts */
byte since[CANDIDATES] = NEVER; /* time of day since which the candidate knows all keys */
bool accepted[CANDIDATES] = false;
bool refused[CANDIDATES] = false;
bool sent[CANDIDATES] = false;

/* The handover of candidate 0 to candidate 1, as one message, and the release that follows. */
bool leaving = false;
bool handedOver = false; /* the message is on its way, for good */
bool received = false;
bool released = false; /* the release is on its way */
byte passedSince = NEVER;
byte passedUntil = NEVER; /* end of the lease, time of day of candidate 0 */
bool passedRecord = false; /* candidate 0 had accepted the key */
bool knows = false; /* candidate 1 got that record */

byte runs = 0;
bool saidNotRun = false;

#define WALL(c) (now + ahead[c])

#ifdef WITHOUT_VOTES
#define HOLDS(c) (since[c] != NEVER)
#else
#define HOLDS(c) (counted[c] > now)
#endif
#ifdef WITHOUT_LEASE_CHECK
#define LEASED(c) (since[c] != NEVER)
#else
#define LEASED(c) HOLDS(c)
#endif
#ifdef WITHOUT_ISSUED_AFTER_LEASE
#define YOUNG(c) true
#else
#define YOUNG(c) (issued > since[c] + 2 * SKEW)
#endif
#ifdef WITHOUT_FUTURE_CHECK
#define PAST(c) true
#else
#define PAST(c) (issued < WALL(c) + SKEW)
#endif
#ifdef WITHOUT_FRESH_VOTER_WAIT
#define SPEAKS true
#else
#define SPEAKS (now >= quiet)
#endif
#ifdef WITHOUT_COUNT_FROM_REQUEST
#define COUNT_FROM(sentAt) now
#else
#define COUNT_FROM(sentAt) sentAt
#endif
#ifdef WITHOUT_COVERAGE_AFTER_PROMISES
#define COVERED_SINCE(c) 1
#else
#define COVERED_SINCE(c) (noOtherPromiseSince[c] > now -> now : noOtherPromiseSince[c])
#endif
#ifdef WITHOUT_HANDOVER_WITHIN_LEASE
#define INHERITS(c) (c == 1 && received)
#else
#define INHERITS(c) (c == 1 && received && WALL(c) + SKEW < passedUntil)
#endif
#ifdef WITHOUT_HANDED_RECORDS
#define KNOWN(c) false
#else
#define KNOWN(c) (c == 1 && knows)
#endif
#ifdef WITHOUT_FREEZE
#define FROZEN(c) false
#else
#define FROZEN(c) (c == 0 && leaving)
#endif

inline invariant()
{
    assert(runs <= 1);
    assert(!(saidNotRun && runs > 0))
}

/* What no longer matters is forgotten, which keeps the states few. */
inline forget(c)
{
    if
    :: counted[c] <= now -> counted[c] = NEVER
    :: else
    fi;
    if
    :: request[c] + LEASE <= now -> request[c] = NEVER
    :: else
    fi;
    if
    :: vote[c] + LEASE + 1 <= now -> vote[c] = NEVER
    :: else
    fi
}

inline pass()
{
    d_step {
        now < LAST ->
        now++;
        if
        :: quiet <= now -> quiet = NEVER
        :: else
        fi;
        forget(0);
        forget(1);
        forget(2)
    }
}

inline ask(c)
{
    d_step {
        now < LAST && request[c] != now && !(c == 0 && released) -> request[c] = now
    }
}

inline grant(c)
{
    d_step {
        request[c] != NEVER && SPEAKS && (holder == c || until <= now) ->
        if
        :: holder != c && until > otherUntil -> otherUntil = until
        :: else
        fi;
        holder = c;
        until = now + LEASE;
        vote[c] = request[c];
        noOtherPromiseSince[c] = otherUntil
    }
}

/* A lease that lapsed, be it for a moment, begins anew; it covers the time since the last promise to
 * another, or what it inherits. */
inline count(c)
{
    d_step {
        vote[c] != NEVER && !(c == 0 && released) ->
        held = HOLDS(c);
        if
        :: counted[c] < COUNT_FROM(vote[c]) + LEASE -> counted[c] = COUNT_FROM(vote[c]) + LEASE
        :: else
        fi;
        if
        :: held == 0 && counted[c] > now && INHERITS(c) -> since[c] = passedSince; received = false
        :: held == 0 && counted[c] > now && !INHERITS(c) -> since[c] = COVERED_SINCE(c) + ahead[c]; received = false
        :: else
        fi;
        held = 0;
        vote[c] = NEVER
    }
}

/* A copy of the key reaches a candidate: accepted, already known, or uncertain. */
inline arrive(c)
{
    d_step {
        issued != 0 && !accepted[c] && !KNOWN(c) ->
        if
        :: LEASED(c) && YOUNG(c) && PAST(c) && !FROZEN(c) -> accepted[c] = true
        :: else ->
#ifdef WITHOUT_UNKNOWN
            saidNotRun = true
#else
            skip
#endif
        fi;
        invariant()
    }
}

/* The send, however long after the acceptance. */
inline dispatch(c)
{
    d_step {
        accepted[c] && !refused[c] && !sent[c] ->
        sent[c] = true;
        runs++;
        invariant()
    }
}

/* The home refuses an accepted call: for good, or else it may be accepted again. */
inline refuse(c)
{
    d_step {
        accepted[c] && !sent[c] && !refused[c] ->
        saidNotRun = true;
#ifdef WITHOUT_FINAL_REFUSAL
        accepted[c] = false;
#else
        refused[c] = true;
#endif
        invariant()
    }
}

/* Candidate 0 stops: it freezes the shard, and sends its records and coverage. */
inline leave()
{
    d_step {
        !leaving && HOLDS(0) ->
        leaving = true;
        handedOver = true;
        passedSince = since[0];
        passedUntil = counted[0] + ahead[0];
        passedRecord = accepted[0]
    }
}

inline receive()
{
    d_step {
        handedOver && !received ->
        received = true;
        knows = passedRecord
    }
}

/* Once the records are acknowledged, the lease ends, and the voter is told of the successor. */
inline release()
{
    d_step {
        received && !released ->
        released = true;
        counted[0] = NEVER;
        vote[0] = NEVER
    }
}

inline passOn()
{
    d_step { released && holder == 0 -> holder = 1; otherUntil = (until > otherUntil -> until : otherUntil) }
}

/* Another process starts on the voter's VM: its promises are forgotten. */
inline restartVoter()
{
    d_step {
        !restarted && until > now ->
        restarted = true;
        holder = NOBODY;
        until = NEVER;
        quiet = now + LEASE;
        otherUntil = quiet
    }
}

/* A candidate's process is replaced: all that it knew is lost. */
inline replaceProcess(c)
{
    d_step {
        !restarted ->
        restarted = true;
        if
        :: holder == c -> holder = NOBODY /* the promise lives on; the new process is another holder */
        :: else
        fi;
        noOtherPromiseSince[c] = NEVER;
        request[c] = NEVER;
        vote[c] = NEVER;
        counted[c] = NEVER;
        since[c] = NEVER;
        accepted[c] = false;
        refused[c] = false;
        sent[c] = false
    }
}

hidden byte held = 0;

active proctype world()
{
    if
    :: ahead[0] = SKEW
    :: ahead[1] = SKEW
    :: ahead[2] = SKEW
    :: skip
    fi;
    do
    :: pass()
    :: ask(0)
    :: grant(0)
    :: count(0)
    :: arrive(0)
    :: dispatch(0)
    :: ask(1)
    :: grant(1)
    :: count(1)
    :: arrive(1)
    :: dispatch(1)
#ifdef HANDOVER
    :: ask(2)
    :: grant(2)
    :: count(2)
    :: arrive(2)
    :: dispatch(2)
    :: leave()
    :: receive()
    :: release()
    :: passOn()
#else
    :: refuse(0)
    :: refuse(1)
    :: restartVoter()
    :: replaceProcess(0)
#endif
    /* The caller's clock is right, or ahead within the bound. */
    :: d_step { issued == 0 -> issued = now }
    :: d_step { issued == 0 -> issued = now + SKEW }
#ifndef HANDOVER
    /* Or it is far ahead, which must do no harm. */
    :: d_step { issued == 0 -> issued = now + 5 }
#endif
    :: now == LAST -> break
    od
}
