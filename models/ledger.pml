/* The control log (design chapters 6.1, 6.2 and 6.9): terms, votes, log,
   commit, snapshot transfer, restart, membership change, tickets that race for
   a number, and a follower of the configuration.  With -DLEASE, instead of the
   log: heartbeats, the leader lease, and a receiver that is fenced by term.
   The two parts share terms and votes and are checked apart, because their
   product is too large to search.

   Messages of the leader of a term stay available for ever: each is received
   never, once or many times, in any order.  The log of a leader only grows
   within its term, so that an old message is a shorter piece of it.

   Invariants:
     ONE_LEADER  one leader a term
     COMMITTED   no committed entry is lost or replaced
     FORWARD     the number in force at a follower never goes back
     WINNER      at most one ticket wins a number
     OVERLAP     no two leaders accept at the same time
     FENCED      a receiver acts on no step of an older term than the last

   Each MUT_ macro switches one rule off.  */

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
byte votes[SERVERS]; /* received by the candidate, one bit a server */
byte leader_of[TERMS + 1]; /* server + 1 */

#define BITS(x) (((x) & 1) + ((x) >> 1 & 1) + ((x) >> 2 & 1) + ((x) >> 3 & 1))
/* MASK of servers holds more than half of the voters in SET.  */
#define MAJORITY(mask, set) (2 * BITS ((mask) & (set)) > BITS (set))
#define ALL ((1 << SERVERS) - 1)

#ifndef LEASE
/* What was acknowledged counts only while the leader leads.  */
byte match[SERVERS * SERVERS];
#define MATCH(l, s) match[(l) * SERVERS + (s)]
#endif

/* Ends what S knows as candidate or leader.  */
inline resign (s)
{
  role[s] = FOLLOWER;
  votes[s] = 0;
#ifndef LEASE
  for (i : 0 .. SERVERS - 1) { MATCH (s, i) = 0 }
  i = 0
#endif
}

/* The server takes over a term that it has met.  */
inline follow (s, t)
{
  if
  :: t > term[s] -> term[s] = t; voted[s] = 0
  :: else
  fi;
  resign (s)
}

inline stand (s)
{
  term[s]++;
  role[s] = CANDIDATE;
  voted[s] = s + 1;
  votes[s] = 1 << s
}

/* The servers are alike, so that the first candidate is called server 0.  */
#define FIRST_CANDIDATE                                                       \
  if                                                                          \
  :: atomic { _pid == 0 && term[0] == 0 -> stand (0) }                        \
  :: _pid != 0 && term[0] > 0                                                 \
  fi

inline grant (s, c)
{
  follow (s, term[c]);
#ifndef MUT_VOTE_TWICE
  voted[s] = c + 1;
#endif
  votes[c] = votes[c] | (1 << s)
}

#define FREE_TO_VOTE(s, c) (term[c] > term[s] || (term[c] == term[s] && role[s] == FOLLOWER && (voted[s] == 0 || voted[s] == c + 1)))

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
