#include "control/program.h"

int
main (int argc, char **argv)
{
  return ct_program_main (argc, argv, "zp-control", NULL);
}
