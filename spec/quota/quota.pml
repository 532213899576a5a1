/*
 * Model of pkg/quota in discrete time: the allocator role moves between instances.
 *
 * Two instances act as allocators and two as holders of one resource. An allocator
 * needs authority leases from WQ of the N members of a view. A member that granted
 * a lease is sealed only after the lease has expired, and a new epoch loads when RQ
 * members are sealed. Members are interchangeable, so the model counts them instead
 * of identifying them. Every step may be delayed without bound, which models a pause
 * of the instance that takes it. Each holder has at most one request in transit to
 * each allocator and one reply in transit; messages may be delayed, reordered, lost
 * (overwritten) and, with -DDOUBLED and for holder 0, duplicated. Holders send to
 * either allocator at any time, which covers instances with different views.
 *
 * The work of a paused or partitioned holder ends when the work bound has passed,
 * because the upstream receives that bound as the deadline.
 *
 * Safety: the units that holders are using or may still use never exceed LIMIT.
 * Progress (with -DPROGRESS): from every state, once faults have ended and a new
 * epoch has loaded, a holder that sends requests gets a unit within one reservation
 * time and two ticks.
 *
 * Each flag MUT_* inserts one error into the protocol.
 */

#ifndef LIMIT
#define LIMIT 1
#endif
#ifndef MAXSEQ
#define MAXSEQ 2   /* maximum requests of each holder before faults end */
#endif
#ifndef MAXEP
#define MAXEP 2    /* maximum epochs before faults end */
#endif
#define H 2        /* holders */
#define A 2        /* allocators */
#ifndef N
#define N 4        /* members of a view */
#endif
#if N == 4
#define W 3        /* write quorum */
#else
#define W N
#endif
#define RQ (N - W + 1)
#ifdef MUT_WEAK_QUORUM
#define WQ (W - 1)
#else
#define WQ W
#endif
#define AL 2       /* authority lease in ticks; the counters below need exactly 2 */
#ifndef LIFE
#define LIFE 1     /* lifetime of a grant */
#endif
#ifndef WORK
#define WORK 1     /* work bound: time that running work may continue after the lifetime */
#endif
#define HOLD (LIFE + WORK)
#ifdef MUT_SHORT_RESERVE
#define RESERVE LIFE
#else
#define RESERVE HOLD
#endif
#ifdef MUT_SHORT_WAIT
#define WAIT LIFE
#else
#define WAIT HOLD
#endif

/* View and authority. */
byte ep = 1;        /* latest loaded epoch */
byte owner = 0;     /* allocator in that epoch */
byte renewAge = AL; /* ticks since the pending renewal started; AL if none is pending */
byte lease1, lease2; /* number of members whose lease has 1 or 2 ticks left */
byte ack1, ack2;    /* the same for leases granted for the pending renewal */
byte sealed = 0;    /* number of sealed members */

/* Allocators. */
byte auth[A];       /* remaining ticks of the authority, counted from the start of the renewal */
byte belief[A];     /* latest epoch in which the instance knows that it is the allocator */
byte sinceLoad[A];  /* remaining ticks of the wait that began when the instance learned this */
byte bookEp[A];     /* epoch to which the reservations below belong */
byte ready[A];      /* remaining ticks until new units may be granted */
byte resv[A * H];   /* units reserved for a holder */
byte resvLeft[A * H];
byte lastSeq[A * H];

/* Holders. */
byte seq[H];        /* sequence number of the last request */
bit waiting[H];     /* whether the reply to it is outstanding */
byte sentAge[H];    /* ticks since it was sent, at most HOLD */
byte units[H];
byte unitsLeft[H];  /* remaining ticks in which work may start */
byte used[H];
byte workLeft[H];   /* remaining ticks in which work may run */

/* Messages in transit; sequence number 0 marks an empty slot. */
byte rqSeq[A * H]; byte rqHeld[A * H];
byte rpSeq[H]; byte rpUnits[H]; bit rpKeep[H];

/* Temporary variables; each step resets them to 0, so that they add no states. */
byte i, n, k, free, j;
bit unknown, keepOnly;

#define HELD(h) ((unitsLeft[h] > 0 && units[h] > used[h]) -> units[h] : used[h])
#define DOWN(x) x = ((x > 0) -> x - 1 : 0)
#define MIN(x, y) ((x < y) -> x : y)

inline tick() {
    for (i : 0 .. A - 1) { DOWN(sinceLoad[i]); DOWN(ready[i]); DOWN(auth[i]) }
    lease1 = lease2; lease2 = 0; ack1 = ack2; ack2 = 0;
    if :: renewAge < AL -> renewAge++ :: else fi;
    if :: renewAge == AL -> lease1 = lease1 + ack1; ack1 = 0 :: else fi;
    for (i : 0 .. A * H - 1) {
#ifdef MUT_RESERVE_FOREVER
        skip
#else
        DOWN(resvLeft[i])
#endif
    }
    for (i : 0 .. H - 1) {
        DOWN(unitsLeft[i]); DOWN(workLeft[i]);
        if :: sentAge[i] < HOLD -> sentAge[i]++ :: else fi
    }
    i = 0
}

/* Applies expired deadlines and normalises the state, so that equivalent states are
   equal: drops replies that the holder would not accept and reservations of no units. */
inline settle() {
    for (i : 0 .. H - 1) {
        if :: workLeft[i] == 0 -> used[i] = 0 :: else fi;
        if :: unitsLeft[i] == 0 -> units[i] = used[i] :: else fi;
        if :: used[i] == 0 && unitsLeft[i] == 0 -> workLeft[i] = 0 :: else fi;
        if :: !waiting[i] -> sentAge[i] = HOLD :: else fi;
#ifndef MUT_ANY_REPLY
        if :: !waiting[i] || rpSeq[i] != seq[i] -> rpSeq[i] = 0; rpUnits[i] = 0; rpKeep[i] = 0 :: else fi
#endif
    }
    for (i : 0 .. A * H - 1) {
        if :: resvLeft[i] == 0 || resv[i] == 0 -> resv[i] = 0; resvLeft[i] = 0; lastSeq[i] = 0 :: else fi
    }
    n = 0;
    for (i : 0 .. H - 1) { n = n + HELD(i) }
    assert(n <= LIMIT);
    n = 0; i = 0
}

inline load(a) {
    ep++;
    owner = a;
    lease1 = 0; lease2 = 0; ack1 = 0; ack2 = 0; sealed = 0; renewAge = AL
}

inline learn() {
    belief[owner] = ep;
    sinceLoad[owner] = WAIT
}

/* The request states the units of the holder; with giveUp, the holder first returns its unused units. */
inline send(h, a, giveUp, lost) {
    units[h] = HELD(h);
    if :: giveUp -> units[h] = used[h] :: else fi;
    seq[h]++;
    waiting[h] = 1;
    sentAge[h] = 0;
    if :: !lost -> rqSeq[a * H + h] = seq[h]; rqHeld[a * H + h] = units[h] :: else fi
}

/* The allocator enters its current epoch. It keeps its reservations if it was the allocator in the epoch before. */
inline enter(a) {
    if
    :: bookEp[a] != belief[a] ->
#ifdef MUT_KEEP_BOOK
        if :: bookEp[a] == 0 ->
#else
        if :: bookEp[a] == 0 || belief[a] != bookEp[a] + 1 ->
#endif
            for (i : 0 .. H - 1) { resv[a * H + i] = 0; resvLeft[a * H + i] = 0; lastSeq[a * H + i] = 0 }
#ifdef MUT_NO_WAIT
            ready[a] = 0
#else
            ready[a] = sinceLoad[a]
#endif
        :: else fi;
        bookEp[a] = belief[a]; i = 0
    :: else
    fi
}

/* The allocator replies to the request of holder h with up to `most` units. While it must not grant new units
   (keepOnly), it confirms those that the holder has. */
inline handle(a, h, most) {
    enter(a);
    k = a * H + h;
    if
    :: rqSeq[k] > lastSeq[k] ->
        unknown = (rqHeld[k] > resv[k]);
#ifdef MUT_FORGET_HELD
        resv[k] = 0;
#else
        resv[k] = rqHeld[k];
#endif
        lastSeq[k] = rqSeq[k];
        resvLeft[k] = RESERVE;
#ifdef MUT_WAIT_AGAIN
        ready[a] = WAIT;
#endif
        free = 0;
        for (i : 0 .. H - 1) { free = free + resv[a * H + i] }
        free = ((free < LIMIT) -> LIMIT - free : 0);
        keepOnly = (unknown || ready[a] > 0);
        if
        :: keepOnly -> n = MIN(rqHeld[k], LIMIT)
        :: else -> n = MIN(most, rqHeld[k] + free)
        fi;
        if :: n > resv[k] -> resv[k] = n :: else fi;
        rpSeq[h] = rqSeq[k]; rpUnits[h] = n; rpKeep[h] = keepOnly
    :: else
    fi;
    i = 0; n = 0; k = 0; free = 0; unknown = 0; keepOnly = 0
}

inline receive(h) {
    waiting[h] = 0;
    n = HELD(h);
    units[h] = rpUnits[h];
#ifndef MUT_REVIVE
    if :: rpKeep[h] && n < units[h] -> units[h] = n :: else fi;
#endif
#ifdef MUT_LIFE_FROM_REPLY
    unitsLeft[h] = LIFE; workLeft[h] = HOLD;
#else
    unitsLeft[h] = ((sentAge[h] < LIFE) -> LIFE - sentAge[h] : 0);
    workLeft[h] = HOLD - sentAge[h];
#endif
    n = 0
}

/* Faults end: a new epoch loads with allocator a, and holder h sends a request in each tick. */
inline calm(a, h) {
    for (j : 1 .. AL) { tick(); settle() }
    load(a);
    learn();
    for (j : 1 .. HOLD + 2) {
        tick();
        auth[a] = AL;
        settle();
        send(h, a, 0, 0);
        handle(a, h, LIMIT);
        if :: rpSeq[h] == seq[h] -> receive(h) :: else fi
    }
    assert(HELD(h) > 0)
}

/* Number of members that have granted a lease or are sealed. */
#define MEMBERS (lease1 + lease2 + ack1 + ack2 + sealed)
/* Extends the owner's authority once WQ members have granted the pending renewal. */
#define HEARD if :: ack1 + ack2 >= WQ && auth[owner] < AL - renewAge -> auth[owner] = AL - renewAge :: else fi

#define MAY_SEND(h) (seq[h] < MAXSEQ)
#ifdef MUT_ANY_REPLY
#define ACCEPTS(h) (rpSeq[h] > 0)
#else
#define ACCEPTS(h) (waiting[h] && rpSeq[h] == seq[h] && rpSeq[h] > 0)
#endif
#ifdef MUT_NO_AUTHORITY
#define AUTH(a) (belief[a] > 0)
#else
#define AUTH(a) (auth[a] > 0)
#endif
#define CLEAR(a, h) rqSeq[a * H + h] = 0; rqHeld[a * H + h] = 0

#define SEND_STEPS(h, a) \
    :: d_step { MAY_SEND(h) -> send(h, a, 0, 0); settle() } \
    :: d_step { MAY_SEND(h) -> send(h, a, 1, 0); settle() } \
    :: d_step { MAY_SEND(h) -> send(h, a, 1, 1); settle() }

#define HOLDER_STEPS(h) \
    :: d_step { unitsLeft[h] > 0 && used[h] < units[h] -> used[h]++; settle() } \
    :: d_step { used[h] > 0 -> used[h]--; settle() } \
    :: d_step { ACCEPTS(h) -> receive(h); settle() } \
    SEND_STEPS(h, 0) SEND_STEPS(h, 1)

#ifdef DOUBLED
#define AGAIN(a, h) \
    :: d_step { rqSeq[a * H + h] > 0 && AUTH(a) -> handle(a, h, LIMIT); settle() }
#else
#define AGAIN(a, h)
#endif

#define ANSWER_STEPS(a, h) \
    :: d_step { rqSeq[a * H + h] > 0 && AUTH(a) -> handle(a, h, LIMIT); CLEAR(a, h); settle() } \
    :: d_step { rqSeq[a * H + h] > 0 && AUTH(a) -> handle(a, h, 0); CLEAR(a, h); settle() }

active proctype System() {
    belief[0] = 1;
    end: do
    :: d_step { tick(); settle() }
    /* Authority: the owner starts a renewal, then members grant it one by one. */
    :: d_step { belief[owner] == ep && (renewAge > 0) ->
        lease1 = lease1 + ack1; lease2 = lease2 + ack2; ack1 = 0; ack2 = 0; renewAge = 0 }
    :: d_step { renewAge < AL && MEMBERS < N -> ack2++; HEARD }
    :: d_step { renewAge < AL && lease1 > 0 -> lease1--; ack2++; HEARD }
    :: d_step { renewAge < AL && lease2 > 0 -> lease2--; ack2++; HEARD }
    /* View changes: members are sealed, the next epoch loads, its allocator learns of it. */
#ifdef MUT_SEAL_EARLY
    :: d_step { ep < MAXEP && sealed < RQ -> sealed++ }
#else
    :: d_step { ep < MAXEP && MEMBERS < N && sealed < RQ -> sealed++ }
#endif
    :: d_step { ep < MAXEP && sealed >= RQ -> load(0); settle() }
    :: d_step { ep < MAXEP && sealed >= RQ -> load(1); settle() }
    :: d_step { belief[owner] != ep -> learn() }
    HOLDER_STEPS(0)
    HOLDER_STEPS(1)
    AGAIN(0, 0) AGAIN(1, 0)
    ANSWER_STEPS(0, 0) ANSWER_STEPS(0, 1) ANSWER_STEPS(1, 0) ANSWER_STEPS(1, 1)
#ifdef PROGRESS
    :: d_step { calm(0, 0) }; break
    :: d_step { calm(1, 0) }; break
#endif
    od
}
