#include "roster/seeds.h"

void
ro_send_seeds (struct tk_task *to, const struct zp_strs *seeds)
{
  struct tk_msg *m = tk_msg_new (TK_SEEDS);

  for (size_t i = 0; i < seeds->len; i++)
    zp_buf_printf (&m->u.addresses.lines, "%.*s\n", ZP_ARG (seeds->item[i]));
  tk_send (to, m);
}
