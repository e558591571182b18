/* Model of the replicated control log (design chapters 6.1, 6.2 and 6.9):
   terms, votes, log, commit, snapshot transfer, restart, membership change,
   tickets that compete for a configuration number, and a follower of the
   configuration.  With -DLEASE it models, in place of the log: heartbeats, the
   leader lease, and a receiver that rejects steps of older terms (fencing).
   The two parts share terms and votes.  They are checked separately, because
   the product of their states is too large to search.

   Messages are not removed when they are received: each message of a leader
   can be received never, once or many times, in any order.  Within its term a
   leader only appends to its log, so that an old message is a prefix of the
   log.

   Invariants:
     ONE_LEADER  at most one leader in a term
     COMMITTED   no committed entry is lost or replaced
     FORWARD     the number in force at a follower never decreases
     WINNER      at most one ticket gets a number
     OVERLAP     no two leaders accept proposals at the same time
     FENCED      a receiver never acts on a step of an older term than its last

   Each MUT_ macro disables one rule of the protocol.  */

#ifndef SERVERS
#define SERVERS 3
#endif
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LEN
#define LEN 2
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

byte term[SERVERS];
byte voted[SERVERS]; /* candidate of this term + 1, or 0; durable */
byte role[SERVERS];
byte votes[SERVERS]; /* received by the candidate, one bit per server */
byte leader_of[TERMS + 1]; /* leader of the term + 1, or 0 */

#define BITS(x) (((x) & 1) + ((x) >> 1 & 1) + ((x) >> 2 & 1) + ((x) >> 3 & 1))
/* Whether MASK contains more than half of the voters in SET.  */
#define MAJORITY(mask, set) (2 * BITS ((mask) & (set)) > BITS (set))
#define ALL ((1 << SERVERS) - 1)

#ifndef LEASE
/* Entries of leader L that server S has acknowledged; reset when L resigns.  */
byte match[SERVERS * SERVERS];
#define MATCH(l, s) match[(l) * SERVERS + (s)]
#endif

/* S becomes a follower and drops its state as candidate or leader.  */
inline resign (s)
{
  role[s] = FOLLOWER;
  votes[s] = 0;
#ifndef LEASE
  for (i : 0 .. SERVERS - 1) { MATCH (s, i) = 0 }
  i = 0
#endif
}

/* S becomes a follower in term T, which it has received in a message.  */
inline follow (s, t)
{
  if
  :: t > term[s] -> term[s] = t; voted[s] = 0
  :: else
  fi;
  resign (s)
}

/* S becomes a candidate in a new term and votes for itself.  */
inline stand (s)
{
  term[s]++;
  role[s] = CANDIDATE;
  voted[s] = s + 1;
  votes[s] = 1 << s
}

/* Symmetry reduction: as all servers are equal, the first candidate is always
   server 0.  */
#define FIRST_CANDIDATE                                                       \
  if                                                                          \
  :: atomic { _pid == 0 && term[0] == 0 -> stand (0) }                        \
  :: _pid != 0 && term[0] > 0                                                 \
  fi

/* S votes for the candidate C.  */
inline grant (s, c)
{
  follow (s, term[c]);
#ifndef MUT_VOTE_TWICE
  voted[s] = c + 1;
#endif
  votes[c] = votes[c] | (1 << s)
}

#define FREE_TO_VOTE(s, c) (term[c] > term[s] || (term[c] == term[s] && role[s] == FOLLOWER && (voted[s] == 0 || voted[s] == c + 1)))

/* S becomes the leader of its term.  */
inline win (s)
{
  role[s] = LEADER;
  votes[s] = 0;
  assert (leader_of[term[s]] == 0); /* ONE_LEADER */
  leader_of[term[s]] = s + 1
}

#ifdef LEASE
#include "ledger-lease.pml"
#else
#include "ledger-log.pml"
#endif
