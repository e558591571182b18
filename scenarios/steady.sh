must="every request is answered, and no server gets more requests than its slots"
check() {
  [ "$(total answered)" = "$(total asked)" ] || echo "not every request was answered;"
  [ "$(total over)" = 0 ] || echo "$(total over) requests arrived at servers without a free slot;"
}
