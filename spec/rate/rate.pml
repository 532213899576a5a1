/*
 * Model of pkg/rate in discrete time: shares of a limit that borrowers give up to lenders, and leased tokens.
 *
 * Two borrowers each have one share of the limit of one workspace, which is worth one unused token. A borrower uses its
 * share itself or gives it up to one of two lenders. Buckets are filled at any time, so the model does not depend on the
 * rate: the unused tokens together never exceed the shares.
 *
 * Each borrower has at most one request and one reply in transit to and from each lender. Messages may be delayed without
 * bound, lost (overwritten or never delivered) and, with -DDOUBLED, requests may be delivered twice. Every step may be
 * delayed without bound, which models a frozen instance: ages are those of the clock that shows more time, and permissions
 * are checked at each step.
 *
 * Each flag MUT_* inserts one error into the protocol.
 */

#ifndef MAXSEQ
#define MAXSEQ 3   /* requests of each borrower */
#endif
#ifndef MAXSEQ1
#define MAXSEQ1 MAXSEQ /* requests of the second borrower */
#endif
#define H 2        /* borrowers */
#define L 2        /* lenders; as a donee, L means none */
#ifndef LL
#define LL 1       /* lifetime of a leased token in ticks */
#endif
#define T 3        /* standing time: ticks after a stamp in which a borrower does not use its share */
#ifdef MUT_NO_MARGIN
#define COUNT T    /* the lender counts a share until its owner uses it, although tokens are still leased */
#else
#define COUNT (T - LL)
#endif

/* Borrowers. */
byte seq[H];
bit waiting[H];      /* the reply to the last request is outstanding */
byte sentTo[H];
byte sentAge[H];     /* ticks since it was sent, at most LL */
byte donee[H] = L;
byte stamp[H];       /* ticks since the donee issued the stamp, at most T */
byte received[H] = T; /* ticks since it was received, at most T */
bit tok[H];          /* a leased token */
byte tokFrom[H]; byte tokSeq[H]; byte tokAge[H];
bit own[H];          /* a token of the own share */

/* Lenders, by lender * H + borrower. */
byte level[L];
byte last[L * H];
byte counted[L * H] = T; /* age of the last stamp that was echoed */
byte leaseSeq[L * H];    /* request that obtained the lease; 0 for none */
byte leaseAge[L * H];

/* Messages by lender * H + borrower; sequence number 0 marks an empty slot. */
byte rqSeq[L * H]; byte rqEcho[L * H]; byte rqBack[L * H];
byte rpSeq[L * H]; byte rpStamp[L * H]; bit rpGrant[L * H];

/* Temporary variables; each step resets them to 0. */
byte i, j, k, n;

#define UP(x, most) x = ((x < most) -> x + 1 : most)
#define COUNTS(l, b) (counted[(l) * H + (b)] < COUNT)
#define SHARES(l) ((COUNTS(l, 0) -> 1 : 0) + (COUNTS(l, 1) -> 1 : 0))
#define LEASED(l) ((leaseSeq[(l) * H] > 0 -> 1 : 0) + (leaseSeq[(l) * H + 1] > 0 -> 1 : 0))

inline settle() {
    for (i : 0 .. L * H - 1) {
#ifdef MUT_FORGOTTEN
        if :: leaseSeq[i] > 0 && (leaseAge[i] >= LL || counted[i] >= COUNT) -> leaseSeq[i] = 0; leaseAge[i] = 0 :: else fi;
#else
        if :: leaseSeq[i] > 0 && leaseAge[i] >= LL -> leaseSeq[i] = 0; leaseAge[i] = 0 :: else fi;
#endif
        if :: counted[i] >= COUNT -> counted[i] = T :: else fi;
#ifndef MUT_RECEIPT
        if :: rqSeq[i] > 0 && rqEcho[i] >= COUNT -> rqEcho[i] = T :: else fi;
#endif
        k = i % H;
        if :: rpSeq[i] > 0 && (!waiting[k] || rpSeq[i] != seq[k]) -> rpSeq[i] = 0; rpStamp[i] = 0; rpGrant[i] = 0 :: else fi
    }
    for (i : 0 .. H - 1) {
        if :: tok[i] && tokAge[i] >= LL -> tok[i] = 0 :: else fi;
        if :: !tok[i] -> tokFrom[i] = 0; tokSeq[i] = 0; tokAge[i] = 0 :: else fi;
        if :: received[i] >= T -> donee[i] = L; stamp[i] = 0 :: else own[i] = 0 fi;
        if :: !waiting[i] -> sentAge[i] = 0; sentTo[i] = 0 :: else fi
    }
    for (i : 0 .. L - 1) {
        n = SHARES(i); k = LEASED(i);
        if :: level[i] + k > n -> level[i] = ((n > k) -> n - k : 0) :: else fi
    }
    /* Each share has one user. */
    for (i : 0 .. H - 1) {
        n = (received[i] >= T -> 1 : 0);
        for (j : 0 .. L - 1) { n = n + (COUNTS(j, i) -> 1 : 0) }
        assert(n <= 1)
    }
    /* The unused tokens, also those in replies that will be accepted, do not exceed the shares. */
    n = level[0] + level[1];
    for (i : 0 .. H - 1) { n = n + tok[i] + own[i] }
    for (i : 0 .. L * H - 1) {
        k = i % H;
#ifdef MUT_LATE_EXPIRY
        if :: rpGrant[i] && !tok[k] -> n++ :: else fi
#else
        if :: rpGrant[i] && !tok[k] && sentAge[k] < LL -> n++ :: else fi
#endif
    }
    assert(n <= H);
    i = 0; j = 0; k = 0; n = 0
}

inline tick() {
    for (i : 0 .. H - 1) {
        if :: waiting[i] -> UP(sentAge[i], LL) :: else fi;
        if :: donee[i] < L -> UP(stamp[i], T) :: else fi;
        UP(received[i], T);
        if :: tok[i] -> UP(tokAge[i], LL) :: else fi
    }
    for (i : 0 .. L * H - 1) {
        UP(counted[i], T);
        if :: leaseSeq[i] > 0 -> UP(leaseAge[i], LL) :: else fi;
        if :: rqSeq[i] > 0 -> UP(rqEcho[i], T) :: else fi;
        if :: rpSeq[i] > 0 -> UP(rpStamp[i], T) :: else fi
    }
}

/* The request gives the token of the lender back if `back` is set. */
inline send(b, l, back) {
    seq[b]++; waiting[b] = 1; sentTo[b] = l; sentAge[b] = 0;
    k = l * H + b;
    rqSeq[k] = seq[b];
    rqEcho[k] = ((donee[b] == l) -> stamp[b] : T);
    rqBack[k] = 0;
    if :: back && tok[b] && tokFrom[b] == l -> rqBack[k] = tokSeq[b]; tok[b] = 0 :: else fi;
    k = 0
}

inline handle(l, b, lend, again) {
    k = l * H + b;
#ifdef MUT_ANY_COPY
    if
    :: rqSeq[k] >= last[k] ->
#else
    if
    :: rqSeq[k] > last[k] ->
#endif
        last[k] = rqSeq[k];
#ifdef MUT_RECEIPT
        if :: rqEcho[k] < T -> counted[k] = 0 :: else fi;
#else
        if :: rqEcho[k] < COUNT && rqEcho[k] < counted[k] -> counted[k] = rqEcho[k] :: else fi;
#endif
#ifdef MUT_ANY_COPY
        if :: rqBack[k] > 0 -> level[l]++; leaseSeq[k] = 0; leaseAge[k] = 0 :: else fi;
#else
        if :: rqBack[k] > 0 && rqBack[k] == leaseSeq[k] -> level[l]++; leaseSeq[k] = 0; leaseAge[k] = 0 :: else fi;
#endif
        n = SHARES(l); j = LEASED(l);
        if :: level[l] + j > n -> level[l] = ((n > j) -> n - j : 0) :: else fi;
        rpSeq[k] = rqSeq[k]; rpStamp[k] = 0; rpGrant[k] = 0;
        if
        :: lend && level[l] > 0 && leaseSeq[k] == 0 ->
            level[l]--;
#ifndef MUT_DOUBLE_LENDING
            leaseSeq[k] = rqSeq[k]; leaseAge[k] = 0;
#endif
            rpGrant[k] = 1
        :: else
        fi
    :: else
    fi;
    if :: !again -> rqSeq[k] = 0; rqEcho[k] = 0; rqBack[k] = 0 :: else fi;
    k = 0; n = 0; j = 0
}

inline receive(b, l) {
    k = l * H + b;
    waiting[b] = 0;
#ifdef MUT_LATE_EXPIRY
    if :: rpGrant[k] && !tok[b] -> tok[b] = 1; tokFrom[b] = l; tokSeq[b] = rpSeq[k]; tokAge[b] = 0 :: else fi;
#else
    if :: rpGrant[k] && !tok[b] && sentAge[b] < LL -> tok[b] = 1; tokFrom[b] = l; tokSeq[b] = rpSeq[k]; tokAge[b] = sentAge[b] :: else fi;
#endif
#ifdef MUT_TWO_DONEES
    donee[b] = l; stamp[b] = rpStamp[k]; received[b] = 0;
#else
    if :: donee[b] == l || received[b] >= T -> donee[b] = l; stamp[b] = rpStamp[k]; received[b] = 0 :: else fi;
#endif
    rpSeq[k] = 0; rpStamp[k] = 0; rpGrant[k] = 0;
    k = 0
}

#ifdef DOUBLED
#define AGAIN(b, l) :: d_step { rqSeq[l * H + b] > 0 -> handle(l, b, 1, 1); settle() }
#else
#define AGAIN(b, l)
#endif

#define MOST(b) ((b == 0) -> MAXSEQ : MAXSEQ1)

#define PAIR(b, l) \
    :: d_step { seq[b] < MOST(b) -> send(b, l, 0); settle() } \
    :: d_step { seq[b] < MOST(b) && tok[b] && tokFrom[b] == l -> send(b, l, 1); settle() } \
    :: d_step { rqSeq[l * H + b] > 0 -> handle(l, b, 1, 0); settle() } \
    :: d_step { rqSeq[l * H + b] > 0 -> handle(l, b, 0, 0); settle() } \
    AGAIN(b, l) \
    :: d_step { rpSeq[l * H + b] > 0 && sentTo[b] == l -> receive(b, l); settle() }

#define BORROWER(b) \
    :: d_step { tok[b] -> tok[b] = 0; settle() } \
    :: d_step { received[b] >= T && !own[b] -> own[b] = 1; settle() } \
    :: d_step { own[b] -> own[b] = 0; settle() } \
    PAIR(b, 0) PAIR(b, 1)

#define LENDER(l) :: d_step { level[l] + LEASED(l) < SHARES(l) -> level[l]++; settle() }

active proctype System() {
    end: do
    :: d_step { tick(); settle() }
    BORROWER(0) BORROWER(1)
    LENDER(0) LENDER(1)
    od
}
