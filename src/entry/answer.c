#include "entry/answer.h"

void
en_refuse (struct tk_task *front, uint64_t id, unsigned status,
           enum zp_verdict verdict, const char *reason, unsigned retry_after_s)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_ANSWER);
  struct tk_http_answer *a = &m->u.answer;

  a->id = id;
  a->status = status;
  a->has_verdict = true;
  a->verdict = verdict;
  a->retry_after_s = retry_after_s;
  zp_buf_put (&a->content_type, ZP_STR ("application/json"));
  zp_buf_printf (&a->body, "{\"reason\":\"%s\",\"verdict\":\"%s\"}\n", reason,
                 zp_verdict_name (verdict));
  tk_send (front, m);
}

static void
answer_ok (struct tk_task *front, uint64_t id, struct zp_str type,
           struct zp_buf body)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_ANSWER);
  struct tk_http_answer *a = &m->u.answer;

  a->id = id;
  a->status = 200;
  /* No backend server was involved.  */
  a->has_verdict = true;
  a->verdict = ZP_NOT_RUN;
  a->body = body;
  zp_buf_put (&a->content_type, type);
  tk_send (front, m);
}

void
en_answer_json (struct tk_task *front, uint64_t id, struct zp_buf body)
{
  answer_ok (front, id, ZP_STR ("application/json"), body);
}

void
en_answer_text (struct tk_task *front, uint64_t id, struct zp_buf body)
{
  answer_ok (front, id, ZP_STR ("text/plain; version=0.0.4"), body);
}

struct zp_str
en_query (struct zp_str query, const char *name)
{
  struct zp_str item, key, value;

  while (query.len > 0)
    {
      zp_str_split (query, '&', &item, &query);
      if (zp_str_split (item, '=', &key, &value)
          && zp_str_eq (key, zp_str_from (name)))
        return value;
    }
  return ZP_STR ("");
}
