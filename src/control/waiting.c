#include "control/waiting.h"

struct ct_waiting_request *
ct_waiting_add (struct ct_waiting_list *w, uint64_t proposal,
                const struct tk_http_request *r)
{
  if (w->len == CT_WAITING_MAX)
    return NULL;
  struct ct_waiting_request *x = &w->item[w->len++];
  *x = (struct ct_waiting_request){
    .proposal = proposal,
    .request_id = r->id,
    .from = r->from,
    .path = zp_buf_from (zp_str_of (&r->path)),
    .query = zp_buf_from (zp_str_of (&r->query)),
  };
  return x;
}

struct ct_waiting_request *
ct_waiting_by_proposal (struct ct_waiting_list *w, uint64_t proposal)
{
  for (size_t i = 0; i < w->len; i++)
    if (w->item[i].proposal == proposal)
      return &w->item[i];
  return NULL;
}

struct ct_waiting_request *
ct_waiting_by_index (struct ct_waiting_list *w, uint64_t index)
{
  for (size_t i = 0; i < w->len; i++)
    if (w->item[i].index == index)
      return &w->item[i];
  return NULL;
}

void
ct_waiting_drop (struct ct_waiting_list *w, struct ct_waiting_request *x)
{
  zp_buf_free (&x->path);
  zp_buf_free (&x->query);
  if (x->answer)
    tk_msg_free (x->answer);
  *x = w->item[--w->len];
}

void
ct_waiting_free (struct ct_waiting_list *w)
{
  while (w->len > 0)
    ct_waiting_drop (w, &w->item[w->len - 1]);
}
