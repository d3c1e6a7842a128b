#!/usr/bin/env bash
# Shows that two builds work together: each reads the data and settings that the other wrote, and a fleet of both forms
# one chain, carries requests and takes changes of configuration, with two controllers and two routers of either build.
# usage: tools/mixed_builds.sh OLD NEW [DIR]    OLD, NEW: folders with the built programs; DIR: where logs and data go
# (default: a temporary folder, kept when a check fails). Builds nothing. Exit code 1 if a check failed, 2 for wrong usage.
set -uo pipefail

[ $# -ge 2 ] || { sed -n 2,6p "$0"; exit 2; }
old=$(readlink -f "$1") new=$(readlink -f "$2")
work=${3:-$(mktemp -d)}
mkdir -p "$work"
work=$(readlink -f "$work")
for folder in "$old" "$new"; do
  for program in spindledock spindledock-router spindledock-controller spindledock-standin spindledock-fleet; do
    [ -x "$folder/$program" ] || { echo "$folder has no program $program; build it with: cargo build --bins"; exit 2; }
  done
done

BASE_PORT=27600
ADMIN_C1=$((BASE_PORT + 5))    # 4 ports a process, counted from 1: links, admin, http
ADMIN_R1=$((BASE_PORT + 60 + 5))
WAIT_S=90
TRAFFIC_S=12
failed=0
launcher=

passed() { echo "ok      $1"; }
broken() { echo "FAILED  $1"; failed=1; }
check() { # text, command...
  local text=$1; shift
  if "$@"; then passed "$text"; else broken "$text"; fi
}

# A folder of programs in which each process of the fleet starts from the build that its plan names.
programs() { # folder, launching build, build of c1, c2, c3, r1, r2, r3
  local folder=$1 launch=$2 role number; shift 2
  mkdir -p "$folder"
  cp "$launch/spindledock-fleet" "$launch/spindledock-standin" "$folder/"
  for role in controller router; do
    {
      echo '#!/usr/bin/env bash'
      echo 'while read -r port build; do'
      echo '  [[ " $* " == *" --address 127.0.0.1:$port "* ]] && exec "$build/spindledock-'$role'" "$@"'
      echo 'done <<PLAN'
      for number in 1 2 3; do
        if [ $role = controller ]; then echo "$((BASE_PORT + 4 * number)) ${!number}"
        else local at=$((number + 3)); echo "$((BASE_PORT + 60 + 4 * number)) ${!at}"; fi
      done
      echo 'PLAN'
      echo 'exit 1'
    } > "$folder/spindledock-$role"
    chmod +x "$folder/spindledock-$role"
  done
}

start() { # folder of programs, folder of data, further flags
  local folder=$1 data=$2; shift 2
  "$folder/spindledock-fleet" --deployment small --dir "$data" --base $BASE_PORT "$@" > "$data.out" 2>&1 &
  launcher=$!
}

comes() { # file, pattern
  local second
  for second in $(seq $((WAIT_S * 2))); do
    grep -q "$2" "$1" 2>/dev/null && return 0
    kill -0 "$launcher" 2>/dev/null || { grep -q "$2" "$1"; return; }
    sleep 0.5
  done
  return 1
}

# Ends the launcher and with it all processes of its fleet, by signals to the ones it started.
stop() {
  [ -n "$launcher" ] || return 0
  kill -INT "$launcher" 2>/dev/null
  wait "$launcher" 2>/dev/null
  launcher=
}
trap stop EXIT

ask() { # build, admin port, arguments
  local build=$1 port=$2; shift 2
  "$build/spindledock" --node "127.0.0.1:$port" --json "$@"
}

# Prints what a command printed only if it failed.
quietly() {
  local told
  told=$("$@" 2>&1) || { echo "$told" | head -c 2000; return 1; }
}

version_at() { ask "$1" "$2" show | sed -E 's/.*"version":"?([^",}]*).*/\1/'; }

# The configuration that every controller shows, or nothing where they differ.
shown_alike() {
  local first port
  first=$(ask "$old" $ADMIN_C1 show) || return 1
  for port in $((ADMIN_C1 + 4)) $((ADMIN_C1 + 8)); do
    [ "$(ask "$new" "$port" show)" = "$first" ] || return 1
  done
}

one_chain() {
  local nodes; nodes=$(ask "$new" $ADMIN_R1 nodes) || return 1
  [ "$(grep -oE '"place":"(head|middle|tail)"' <<<"$nodes" | sort | tr -d '\n')" = '"place":"head""place":"middle""place":"tail"' ] ||
    { echo "$nodes" | head -c 2000; return 1; }
}

changed_configuration() { # data folder, new time of the first route
  sed -E "s/\"due_ms\":[0-9]+/\"due_ms\":$2/" "$1/fleet.json" > "$1/changed.json"
}

served_whole() { # line of the launcher
  local total whole
  total=$(sed -E 's/.*total=([0-9]+).*/\1/' <<<"$1"); whole=$(sed -E 's/.*whole=([0-9]+).*/\1/' <<<"$1")
  [ "${total:-0}" -gt 0 ] && [ "$total" = "$whole" ] || { echo "$1"; return 1; }
}

mixed_fleet() { # name, build of c1, c2, c3, r1, r2, r3
  local name=$1; shift
  local data=$work/$name before after
  mkdir -p "$data"
  programs "$work/$name.bin" "$1" "$@"
  start "$work/$name.bin" "$data" --seconds $TRAFFIC_S
  check "$name: a configuration is taken and models are held" comes "$data.out" 'models held after'
  check "$name: one chain of three controllers" one_chain
  before=$(version_at "$new" $ADMIN_C1)
  changed_configuration "$data" 19000
  check "$name: a change through a router, by the new command line" quietly ask "$new" $ADMIN_R1 apply "$data/changed.json"
  changed_configuration "$data" 18000
  check "$name: a change through the middle controller, by the old command line" quietly ask "$old" $((ADMIN_C1 + 4)) apply "$data/changed.json"
  after=$(version_at "$old" $ADMIN_C1)
  echo "        chain: $(ask "$new" $ADMIN_R1 nodes | tr '{' '\n' | sed -nE 's/.*"place":"([a-z]+)".*"address":"127.0.0.1:([0-9]+)".*/\1 \2/p' | while read -r place port; do
    number=$(((port - BASE_PORT) / 4)); echo "$place c$number $([ "${!number}" = "$old" ] && echo old || echo new)"; done | sort | paste -sd, -)"
  check "$name: the version has risen ($before to $after)" test "$before" != "$after"
  check "$name: all controllers show the same" shown_alike
  check "$name: the load ends" comes "$data.out" 'total='
  check "$name: each request was answered whole" served_whole "$(grep 'total=' "$data.out")"
  stop
}

# A fleet of one build writes its data, the other build goes on with it.
taken_over() { # name, writing build, reading build
  local name=$1 writer=$2 reader=$3 before after
  local data=$work/$name
  mkdir -p "$data"
  programs "$work/$name.writer" "$writer" "$writer" "$writer" "$writer" "$writer" "$writer" "$writer"
  programs "$work/$name.reader" "$reader" "$reader" "$reader" "$reader" "$reader" "$reader" "$reader"
  start "$work/$name.writer" "$data" --stay
  check "$name: the writing build has models held" comes "$data.out" "callers' address"
  changed_configuration "$data" 17000
  check "$name: the writing build takes a change" quietly ask "$writer" $ADMIN_R1 apply "$data/changed.json"
  before=$(ask "$writer" $ADMIN_C1 show)
  ask "$writer" $ADMIN_C1 history > "$work/$name.history"
  stop
  local settings="--address 127.0.0.1:$((BASE_PORT + 4)) --admin 127.0.0.1:$ADMIN_C1 --domain z1 --seeds 127.0.0.1:$((BASE_PORT + 8)) --core 3"
  "$writer/spindledock-controller" $settings --data "$data/c1" --inspect > "$work/$name.told-by-writer" 2>&1
  "$reader/spindledock-controller" $settings --data "$data/c1" --inspect > "$work/$name.told-by-reader" 2>&1
  check "$name: both builds tell the same of the data folder" cmp -s "$work/$name.told-by-writer" "$work/$name.told-by-reader"
  check "$name: the data folder holds a configuration" grep -q configuration "$work/$name.told-by-reader"
  # Only the controllers start, so that nothing is applied again before the old state is read.
  local started=() number
  for number in 1 2 3; do
    "$reader/spindledock-controller" --address 127.0.0.1:$((BASE_PORT + 4 * number)) --admin 127.0.0.1:$((BASE_PORT + 4 * number + 1)) \
      --domain z$number --seeds 127.0.0.1:$((BASE_PORT + 4)),127.0.0.1:$((BASE_PORT + 8)),127.0.0.1:$((BASE_PORT + 12)) --core 3 --data "$data/c$number" 2>> "$data/c$number.log" &
    started+=($!)
  done
  local second
  for second in $(seq $WAIT_S); do
    after=$(ask "$reader" $ADMIN_C1 show 2>/dev/null) && [ -n "$after" ] && break
    sleep 1
  done
  check "$name: the configuration is the one that was written" test "$before" = "$after"
  check "$name: the history is the one that was written" cmp -s "$work/$name.history" <(ask "$reader" $ADMIN_C1 history)
  kill "${started[@]}"; wait "${started[@]}" 2>/dev/null
  start "$work/$name.reader" "$data" --seconds $TRAFFIC_S
  check "$name: the reading build goes on, with a chain" comes "$data.out" 'models held after'
  check "$name: the load ends" comes "$data.out" 'total='
  check "$name: each request was answered whole" served_whole "$(grep 'total=' "$data.out")"
  stop
}

# Settings in a file mean the same to both builds.
settings_alike() {
  cat > "$work/settings.json" <<JSON
{"address":"127.0.0.1:$((BASE_PORT + 4))","admin":"127.0.0.1:$ADMIN_C1","domain":"z1","bear":1,"first":true,"proof_ms":2500,
 "lease_ms":5000,"drain_ms":7000,"lame_ms":100,"seeds":["127.0.0.1:$((BASE_PORT + 8))"],"data":"$work/none"}
JSON
  sed 's/"domain":"z1"/"domian":"z1"/' "$work/settings.json" > "$work/wrong.json"
  local file
  for file in settings wrong; do
    for build in old new; do
      "${!build}/spindledock-controller" --config "$work/$file.json" --check > "$work/$file.$build" 2>&1
      echo "exit $?" >> "$work/$file.$build"
    done
  done
  check "settings: right ones pass in both builds" test "$(tail -qn1 "$work/settings.old" "$work/settings.new" | sort -u)" = "exit 0"
  check "settings: both builds refuse wrong ones with the same code" test "$(tail -qn1 "$work/wrong.old" "$work/wrong.new" | sort -u | grep -cv "exit 0")" = 1
  check "settings: both builds name the same wrong keys" test "$(grep -c domian "$work/wrong.old")" = "$(grep -c domian "$work/wrong.new")"
}

settings_alike
taken_over old-to-new "$old" "$new"
taken_over new-to-old "$new" "$old"
mixed_fleet two-old "$old" "$new" "$old" "$old" "$new" "$old"
mixed_fleet two-new "$new" "$old" "$new" "$new" "$old" "$new"
if [ $failed -eq 0 ]; then
  echo "the two builds work together"
  [ $# -ge 3 ] || rm -rf "$work"
else
  echo "logs and data: $work"
fi
exit $failed
