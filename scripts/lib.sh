# Shared by the scripts: runs a named step, counts it, and prints the closing line.
passed=0
failed=0

step() {
  local name=$1
  shift
  local out
  if out=$("$@" 2>&1); then
    passed=$((passed + 1))
    echo "ok   $name"
  else
    failed=$((failed + 1))
    echo "FAIL $name"
    printf '%s\n' "$out" | tail -n 60
  fi
}

finish() {
  echo "$passed passed, $failed failed"
  [ "$failed" -eq 0 ]
}
