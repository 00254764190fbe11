# Shared by the scripts: runs a named step, counts it, and prints the closing line.
passed=0
failed=0

step_output=$(mktemp)

# The command runs in this shell, not in a subshell, so that it can wait for background processes.
step() {
  local name=$1
  shift
  if "$@" >"$step_output" 2>&1; then
    passed=$((passed + 1))
    echo "ok   $name"
  else
    failed=$((failed + 1))
    echo "FAIL $name"
    tail -n 60 "$step_output"
  fi
}

# Like step, and shows the output of success too.
show() { # NAME COMMAND...
  local before=$failed
  step "$@"
  [ "$failed" -gt "$before" ] || cat "$step_output"
}

# The modules of the workspace, one a line.
modules() { sed -n 's|^\t\./||p' go.work; }

finish() {
  rm -f "$step_output"
  echo "$passed passed, $failed failed"
  [ "$failed" -eq 0 ]
}
