must="every request is answered, and no server is offered more than its slots"
check() {
  [ "$(total answered)" = "$(total asked)" ] || echo "not every request was answered;"
  [ "$(total over)" = 0 ] || echo "$(total over) requests came above the slots;"
}
