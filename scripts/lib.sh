# Sourced by the other scripts: runs named steps, counts the passed and failed ones and prints the totals.
passed=0
failed=0

step_output=$(mktemp)

# Runs a command and prints its output if it fails. The command runs in this shell, not in a subshell, so that it can
# wait for background processes.
step() { # NAME COMMAND...
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

# Like step, but also prints the output of a command that succeeds.
show() { # NAME COMMAND...
  local before=$failed
  step "$@"
  [ "$failed" -gt "$before" ] || cat "$step_output"
}

# Prints the modules of the workspace, one per line.
modules() { sed -n 's|^\t\./||p' go.work; }

# Prints the totals and returns non-zero if a step failed.
finish() {
  rm -f "$step_output"
  echo "$passed passed, $failed failed"
  [ "$failed" -eq 0 ]
}
