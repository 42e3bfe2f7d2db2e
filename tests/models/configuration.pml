/* How a configuration is handed on (docs/DESIGN.md, "Configuration: versions only go up").
 *
 * The service publishes versions 1 to 3 and may answer any reader with an old one. Nodes take
 * versions from the service and from each other, in messages that are late and doubled; a node's
 * process may be replaced at any time, as long as another node serves.
 *
 * Never: a version that was in force on all serving nodes is followed by an older one on any.
 */

#define NODES 3
#define LATEST 3

byte published = 1;
byte version[NODES] = 0;
bool serving[NODES] = false;
byte started = 0; /* nodes that ever served */
byte offered[NODES] = 0; /* a message on its way, late: the version that a peer had */
byte settled = 0; /* highest version that was in force on all serving nodes */

#ifdef WITHOUT_HIGHER_ONLY
#define TAKE(n, v) version[n] = v
#else
#define TAKE(n, v) version[n] = (v > version[n] -> v : version[n])
#endif

#define AT_LEAST(n, v) (!serving[n] || version[n] >= v)
#define ALL(v) (AT_LEAST(0, v) && AT_LEAST(1, v) && AT_LEAST(2, v))

inline settle()
{
    assert(ALL(settled));
    if
    :: (serving[0] && serving[1] && serving[2]) && settled < LATEST && ALL(settled + 1) -> settled++
    :: else
    fi
}

/* Any of the versions that were ever published. */
inline readService(n)
{
    if
    :: TAKE(n, 1)
    :: published >= 2 -> TAKE(n, 2)
    :: published >= 3 -> TAKE(n, 3)
    fi
}

inline node(n, a, b)
{
    if
    :: atomic { readService(n); settle() }
    :: d_step { version[a] > 0 -> offered[n] = version[a] }
    :: d_step { version[b] > 0 -> offered[n] = version[b] }
    :: d_step { offered[n] > 0 -> TAKE(n, offered[n]); settle() }
    /* The first nodes of all serve with what the service says. */
    :: d_step { !serving[n] && started < NODES && version[n] > 0 -> serving[n] = true; started++; settle() }
    /* A new process asks a serving peer before it serves. */
    :: d_step {
        !serving[n] && serving[a] && started >= NODES && version[n] > 0 ->
#ifndef WITHOUT_ASKING_PEERS
        TAKE(n, version[a]);
#endif
        serving[n] = true;
        settle()
    }
    :: d_step { serving[n] && serving[a] && started >= NODES -> serving[n] = false; version[n] = 0; offered[n] = 0 }
    fi
}

active proctype world()
{
    do
    :: d_step { published < LATEST -> published++ }
    :: node(0, 1, 2)
    :: node(1, 2, 0)
    :: node(2, 0, 1)
    od
}
