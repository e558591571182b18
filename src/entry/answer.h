/* NAME
     answer - answers of the deciding task to HTTP requests

   DESCRIPTION
     Each function sends exactly one TK_HTTP_ANSWER.  Refusals carry their
     verdict and a machine-readable reason, as header and as JSON.  */

#ifndef ZP_ENTRY_ANSWER_H
#define ZP_ENTRY_ANSWER_H

#include "task/task.h"

/* A refusal: STATUS, VERDICT and REASON; RETRY_AFTER_S 0 means that a retry
   makes no sense.  */
void en_refuse (struct tk_task *front, uint64_t id, unsigned status,
                enum zp_verdict verdict, const char *reason,
                unsigned retry_after_s);

/* A JSON document of the system itself.  Takes over BODY.  */
void en_answer_json (struct tk_task *front, uint64_t id, struct zp_buf body);

/* Text for the /metrics page.  Takes over BODY.  */
void en_answer_text (struct tk_task *front, uint64_t id, struct zp_buf body);

/* The value of NAME in a query "a=1&b=2"; empty when absent.  */
struct zp_str en_query (struct zp_str query, const char *name);

#endif
