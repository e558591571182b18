/* NAME
     answer - answers of the router to HTTP requests

   DESCRIPTION
     Each function that takes FRONT sends exactly one TK_HTTP_ANSWER to it, for
     the HTTP exchange ID.  A refusal carries its verdict as a header, and
     verdict and machine-readable reason in a JSON body.  */

#ifndef ZP_ENTRY_ANSWER_H
#define ZP_ENTRY_ANSWER_H

#include "task/task.h"

/* Sends a refusal.  RETRY_AFTER_S is the Retry-After header in
   seconds; 0: no header.  */
void en_refuse (struct tk_task *front, uint64_t id, unsigned status,
                enum zp_verdict verdict, const char *reason,
                unsigned retry_after_s);

/* Answers with a JSON document that this daemon made.  Takes over BODY.  */
void en_answer_json (struct tk_task *front, uint64_t id, struct zp_buf body);

/* Answers with text for the /metrics page.  Takes over BODY.  */
void en_answer_text (struct tk_task *front, uint64_t id, struct zp_buf body);

/* The value of NAME in a query "a=1&b=2"; empty when NAME is absent.  */
struct zp_str en_query (struct zp_str query, const char *name);

#endif
