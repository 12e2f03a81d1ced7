/*
 * Model of the ownership of one engine and the eviction of its adapters. The engine ignores fencing tokens.
 *
 * Any step of an owner may be delayed arbitrarily. This covers pauses, expired leases and lost replies: a call whose
 * reply was lost counts as in flight until its outcome is known. A request or order is in flight from the decision to
 * send it, and may end at any time without effect, for example when the engine restarts. Any adapter may be loaded into
 * a free slot at any time. An owner that crashes stays down; another process represents its next incarnation.
 *
 * -DNO_<GUARD> disables a guard; the checker then finds an eviction of an adapter that a request is using.
 */
#ifndef OWNERS
#define OWNERS 2
#endif
#ifndef ADAPTERS
#define ADAPTERS 2
#endif
#ifndef SLOTS
#define SLOTS 1
#endif

#define bit(i) (1 << (i))
#define has(set, i) (((set) >> (i)) & 1)
#define add(set, i) set = set | bit(i)
#define drop(set, i) set = set & ~bit(i)

/* The stored ownership record. The value OWNERS means that there is no owner. */
byte recordOwner = OWNERS;
byte recordGivenUp;
byte recordPredecessors;

/* Local state of each owner. Sets are bit masks of adapters or owners. */
bool alive[OWNERS] = true;
bool owns[OWNERS];
byte successors[OWNERS]; /* Owners that acquired the record later, that is, with a higher epoch. */
byte givenUp[OWNERS];
byte unfinished[OWNERS]; /* Predecessors that have not confirmed that they are finished. */
bool writing[OWNERS];
bool applied[OWNERS]; /* The write in flight has taken effect. */
byte proposed[OWNERS];

/* In flight, and counted by the sender. */
byte requests[OWNERS];
byte unloads[OWNERS];

/* In flight, but no longer counted by the sender. Always empty if no guard is disabled. */
byte lostRequests;
byte lostUnloads;

byte loaded;
byte loadedCount;

#ifdef NO_FREEZE
#define mayChange(o) (owns[o] && !writing[o] && !applied[o])
#else
#define mayChange(o) (owns[o] && !writing[o] && !applied[o] && unfinished[o] == 0)
#endif

#ifdef NO_DISPATCH_GUARD
#define mayDispatch(o, a) (owns[o])
#else
#define mayDispatch(o, a) (owns[o] && !has(givenUp[o], a) && !(writing[o] && has(proposed[o], a)))
#endif

#ifdef NO_EVICT_GUARD
#define mayEvict(o, a) (owns[o])
#else
#define mayEvict(o, a) (owns[o] && has(givenUp[o], a) && !(writing[o] && !has(proposed[o], a)))
#endif

#ifdef NO_REQUESTS_END
#define mayGiveUp(o, a) (mayChange(o) && !has(givenUp[o], a))
#else
#define mayGiveUp(o, a) (mayChange(o) && !has(givenUp[o], a) && !has(requests[o], a))
#endif

#ifdef NO_ORDERS_SETTLE
#define mayTakeBack(o, a) (mayChange(o) && has(givenUp[o], a))
#else
#define mayTakeBack(o, a) (mayChange(o) && has(givenUp[o], a) && !has(unloads[o], a))
#endif

#ifdef NO_RELEASE_WAIT
#define isReleased(p) (!owns[p])
#else
#define isReleased(p) (!owns[p] && requests[p] == 0 && unloads[p] == 0)
#endif

#ifdef NO_GONE_WAIT
#define isCrashedAndFinished(p) (!alive[p])
#else
#define isCrashedAndFinished(p) (!alive[p] && requests[p] == 0 && unloads[p] == 0)
#endif

inline acquire(o)
{
    unfinished[o] = recordPredecessors;
#ifndef NO_PREDECESSORS
    if
    :: recordOwner < OWNERS -> add(unfinished[o], recordOwner)
    :: else
    fi;
#endif
    drop(unfinished[o], o);
    recordPredecessors = unfinished[o];
    recordOwner = o;
    owns[o] = true;
    givenUp[o] = recordGivenUp;
    successors[o] = 0;
    for (i : 0 .. OWNERS - 1) {
        if
        :: i != o -> add(successors[i], o)
        :: else
        fi
    }
    i = 0
}

/* The compare-and-swap of a change takes effect, or fails because a later owner has acquired the record. */
inline applyWrite(o)
{
    if
    :: successors[o] == 0 ->
        recordGivenUp = proposed[o];
        recordPredecessors = unfinished[o];
        applied[o] = true
    :: else ->
        owns[o] = false;
        writing[o] = false
    fi
}

inline completeWrite(o)
{
    givenUp[o] = proposed[o];
    writing[o] = false;
    applied[o] = false
}

/* An owner that receives a release request with a higher epoch stops at once, and confirms once it is finished. */
inline requestRelease(o, p)
{
    if
    :: alive[p] && has(successors[p], o) ->
        owns[p] = false;
        if
        :: isReleased(p) -> drop(unfinished[o], p)
        :: else
        fi
    :: isCrashedAndFinished(p) -> drop(unfinished[o], p)
    :: else
    fi
}

/* The unload order takes effect. Asserts that no request for the adapter is in flight. */
inline applyUnload(a)
{
    if
    :: has(loaded, a) ->
        for (i : 0 .. OWNERS - 1) {
            assert(!has(requests[i], a))
        }
        i = 0;
        assert(!has(lostRequests, a));
        drop(loaded, a);
        loadedCount--
    :: else
    fi
}

active [OWNERS] proctype owner()
{
    byte i, a, p;

    do
    :: atomic { alive[_pid] && !owns[_pid] && !writing[_pid] && !applied[_pid] -> acquire(_pid) }
    :: atomic { alive[_pid] -> alive[_pid] = false; owns[_pid] = false }
    :: atomic { writing[_pid] && !applied[_pid] -> applyWrite(_pid) }
    :: atomic { writing[_pid] && applied[_pid] -> completeWrite(_pid) }
#ifdef NO_LOST_WRITES
    :: atomic { writing[_pid] && applied[_pid] -> writing[_pid] = false }
#endif
    :: atomic { owns[_pid] && unfinished[_pid] != 0 ->
        select(p : 0 .. OWNERS - 1);
        if
        :: has(unfinished[_pid], p) -> requestRelease(_pid, p)
        :: else
        fi;
        p = 0 }
    :: atomic { alive[_pid] || requests[_pid] != 0 || unloads[_pid] != 0 ->
        select(a : 0 .. ADAPTERS - 1);
        if
        :: mayGiveUp(_pid, a) -> writing[_pid] = true; proposed[_pid] = givenUp[_pid] | bit(a)
        :: mayTakeBack(_pid, a) -> writing[_pid] = true; proposed[_pid] = givenUp[_pid] & ~bit(a)
        :: mayDispatch(_pid, a) -> add(requests[_pid], a)
        :: mayEvict(_pid, a) -> add(unloads[_pid], a)
        :: has(requests[_pid], a) -> drop(requests[_pid], a)
        :: has(unloads[_pid], a) -> drop(unloads[_pid], a)
        :: has(unloads[_pid], a) -> drop(unloads[_pid], a); applyUnload(a)
#ifdef NO_LOST_REQUESTS
        :: has(requests[_pid], a) -> drop(requests[_pid], a); add(lostRequests, a)
#endif
#ifdef NO_LOST_ORDERS
        :: has(unloads[_pid], a) -> drop(unloads[_pid], a); add(lostUnloads, a)
#endif
        :: else
        fi;
        a = 0 }
    od
}

active proctype engine()
{
    byte i, a;

    do
    :: atomic { loaded != 0 -> loaded = 0; loadedCount = 0 }
    :: atomic { true ->
        select(a : 0 .. ADAPTERS - 1);
        if
        :: loadedCount < SLOTS && !has(loaded, a) -> add(loaded, a); loadedCount++
        :: has(lostRequests, a) -> drop(lostRequests, a)
        :: has(lostUnloads, a) -> drop(lostUnloads, a); applyUnload(a)
        :: else
        fi;
        a = 0 }
    od
}
