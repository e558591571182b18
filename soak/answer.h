/* NAME
     answer - answers of the servers of the platform soak

   DESCRIPTION
     Writes an answer and notes where its parts are, and damages a copy of it
     at one of these places.  */

#ifndef SOAK_ANSWER_H
#define SOAK_ANSWER_H

#include "base/rng.h"
#include "fault.h"

/* A place of an answer; UNTIL is 0 when the answer does not have it.  */
struct sk_span
{
  size_t from, until;
};

struct sk_answer
{
  struct zp_buf bytes;
  struct sk_span place[SK_AT_VALUES];
};

struct sk_answer_plan
{
  unsigned status;
  enum sk_frame frame;
  enum sk_order order; /* not SK_ORDER_ANY */
  struct zp_str id;
  const char *stamp; /* empty for none */
  const char *load;  /* value of X-Server-Load */
  bool not_run;      /* X-Not-Run */
  struct zp_str body;
  bool head_request; /* the body is left out */
  bool endless;      /* the last chunk is left out */
};

/* Replaces what A held.  */
void sk_answer_write (struct sk_answer *a, const struct sk_answer_plan *p,
                      struct zp_rng *rng);

/* Appends A, damaged as F tells, to OUT.  A must have the place F->at.  */
void sk_answer_damage (const struct sk_answer *a, const struct sk_fault *f,
                       struct zp_rng *rng, struct zp_buf *out);

void sk_answer_copy (struct sk_answer *to, const struct sk_answer *from);
void sk_answer_free (struct sk_answer *a);

#endif
