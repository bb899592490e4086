#!/usr/bin/env bash
# Runs 3 data centres with 4 entry instances each and stand-ins on loopback,
# drains a backend server, kills an entry instance, and prints the results of the
# callers. Exits with status 0 only if no flow was broken. Ends within 60 s.
#
# KEEP=1 keeps the directory with the settings and the logs.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=$PWD/bin
input=$PWD/scripts/demo
dir=$(mktemp -d "${TMPDIR:-/tmp}/cuminshift-demo.XXXXXX")
# Each run uses a random loopback network, so that concurrent runs do not use the
# same addresses.
net=127.$((64 + RANDOM % 128))
centres=(litoral-norte litoral-centro litoral-sur)
run_seconds=24
drain_at=6
kill_at=12
limit_seconds=57

cleanup() {
  local code=$? pid
  trap - EXIT INT TERM
  # jobs -pr lists only running processes that this shell started.
  for pid in $(jobs -pr); do kill "$pid" 2>/dev/null || true; done
  for _ in 1 2 3 4 5 6 7 8 9 10; do
    [[ -z $(jobs -pr) ]] && break
    sleep 0.1
  done
  for pid in $(jobs -pr); do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [[ ${KEEP:-} ]]; then echo "demo: logs in $dir"; else rm -rf "$dir"; fi
  exit "$code"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
  echo "demo: $*" >&2
  exit 1
}

# start NAME COMMAND... starts a background process with its own output and log
# files. Its pid is in $!.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
}

# await_tcp IP PORT waits up to 10 s until a server accepts connections.
await_tcp() {
  for _ in $(seq 100); do
    if (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  fail "no server accepted a connection on $1:$2 within 10 s"
}

apply() {
  timeout 15 "$bin/cuminctl" apply --entry "$operator" --operator demo --callers "$dir/callers.yaml" --plans "$dir/plans.yaml" >>"$dir/apply.log" 2>&1
}

# field NAME FILE prints the first numeric value of a JSON field. In the JSON line
# of the callers the totals come first.
field() {
  grep -o "\"$1\":[0-9]*" "$2" | head -n 1 | cut -d: -f2
}

for b in cuminshift-standin cuminshift-entry cuminctl; do
  [[ -x $bin/$b ]] || fail "bin/$b is missing; run make build"
done
standin=$bin/cuminshift-standin

# The watchdog ends the run if it hangs. It waits with read, which needs no child
# process that could outlive the watchdog.
mkfifo "$dir/watchdog"
(
  exec 3<>"$dir/watchdog"
  read -rt "$limit_seconds" -u 3 _ || kill -TERM $$
) &

store=$net.0.1:7000
list=$net.0.2:7000
start store "$standin" store --listen "$store"
await_tcp "$net.0.1" 7000

# write_server SERVICE DATA_CENTRE NUMBER IP appends a server to plans.yaml.
write_server() {
  cat >>"$dir/plans.yaml" <<YAML
          - name: $1-$2-$3
            address: $4:9000
            health: $4:9001
            slots: 3
            connections: 2000
            cold_slots: 1
            cold_openings_per_second: 20
YAML
}

# start_service SERVICE COUNT OFFSET writes a service and starts its servers.
start_service() {
  local service=$1 count=$2 offset=$3 c i ip
  printf '  - name: %s\n    objective: {broken_flows_ppm: 100, refused_ppm: 10000}\n    sites:\n' "$service" >>"$dir/plans.yaml"
  for c in 0 1 2; do
    cat >>"$dir/plans.yaml" <<YAML
      - data_centre: ${centres[c]}
        address: $net.200.$((c + 1)):$((80 + offset))
        servers:
YAML
    for i in $(seq "$count"); do
      ip=$net.$((10 + c)).$((offset + i))
      write_server "$service" "${centres[c]}" "$i" "$ip"
      start "server-$service-$c-$i" "$standin" server --name "$service-${centres[c]}-$i" --service "$service" \
        --listen "$ip:9000" --health "$ip:9001" --slots 3 --service-time 5ms --parts 3 --status-lag 500ms
    done
  done
}

sed "s/@NET@/$net/" "$input/callers.yaml.in" >"$dir/callers.yaml"
cp "$input/plans-head.yaml" "$dir/plans.yaml"
echo "services:" >>"$dir/plans.yaml"
start_service campo 4 0
start_service ordenes 2 100

instances=()
for c in 0 1 2; do
  for i in 1 2 3 4; do
    name=${centres[c]}-$i ip=$net.$((20 + c)).$i
    instances+=(--instance "$name/${centres[c]}/$ip:9100/$ip:9101/$ip:9102")
    cat >"$dir/$name.yaml" <<YAML
instance: $name
data_centre: ${centres[c]}
packet_address: $ip:9101
peer_address: $ip:9100
operator_address: $ip:9102
store_url: http://$store
instance_list_url: http://$list
workers: 2
YAML
  done
done
start instancelist "$standin" instancelist --listen "$list" --lag 1s "${instances[@]}"
await_tcp "$net.0.2" 7000
for c in 0 1 2; do
  start "fabric-$c" "$standin" fabric --listen "$net.$((30 + c)).1:9200" --data-centre "${centres[c]}" \
    --instance-list "http://$list" --duplicate 0.001 --reorder 0.01 --seed "$c"
done

victim=0
for c in 0 1 2; do
  for i in 1 2 3 4; do
    start "entry-$c-$i" "$bin/cuminshift-entry" --settings "$dir/${centres[c]}-$i.yaml"
    if ((c == 0 && i == 3)); then victim=$!; fi
  done
done
for c in 0 1 2; do
  for i in 1 2 3 4; do await_tcp "$net.$((20 + c)).$i" 9102; done
done
operator=$net.20.1:9102
applied=
for _ in 1 2 3 4 5 6 7 8 9 10; do
  if apply; then
    applied=1
    break
  fi
  sleep 0.5
done
[[ $applied ]] || { cat "$dir/apply.log" >&2; fail "the first configuration was not accepted"; }
echo "demo: 12 entry instances in 3 data centres, 18 servers; configuration applied after ${SECONDS} s"

# run_callers NAME FABRIC SERVICE SERVICE_ADDRESS FLOWS starts callers. Flows are
# opened during the first three quarters of the run, so that openings coincide with
# each event.
callers=()
caller_names=()
run_callers() {
  local base=$((${#callers[@]} * 10 + 1)) addresses=() k
  for k in 0 1 2 3; do addresses+=(--address "$net.100.$((base + k))"); done
  start "caller-$1" "$standin" caller --fabric "$net.$((30 + $2)).1:9200" --service "$4" --service-name "$3" \
    "${addresses[@]}" --flows "$5" --spread "$((run_seconds * 3 / 4))s" --duration "${run_seconds}s" \
    --data-interval 200ms --request-interval 500ms --non-idempotent 0.3 --seed "$base"
  callers+=($!)
  caller_names+=("$1")
}
begin=$SECONDS
for c in 0 1 2; do
  run_callers "campo-${centres[c]}" "$c" campo "$net.200.$((c + 1)):80" 100
  run_callers "ordenes-${centres[c]}" "$c" ordenes "$net.200.$((c + 1)):180" 30
done
# These packets arrive in one data centre for a service address of another, so
# that the entry instances relay them.
run_callers campo-relayed 0 campo "$net.200.3:80" 20

sleep "$drain_at"
awk -v name="campo-${centres[0]}-1" '{print} $0 ~ "name: " name "$" {found=1} found && /cold_openings_per_second/ {print "            drain: true"; found=0}' \
  "$dir/plans.yaml" >"$dir/plans.new"
mv "$dir/plans.new" "$dir/plans.yaml"
apply || { cat "$dir/apply.log" >&2; fail "the drain was not accepted"; }
"$standin" http --body '{"drain":true}' "http://$net.10.1:9001/switch" >/dev/null
echo "demo: server campo-${centres[0]}-1 draining since $((SECONDS - begin)) s"

pause=$((kill_at - (SECONDS - begin)))
if ((pause > 0)); then sleep "$pause"; fi
kill -9 "$victim"
disown "$victim"
"$standin" http --method DELETE "http://$list/instances/${centres[0]}-3" >/dev/null
echo "demo: entry instance ${centres[0]}-3 killed at $((SECONDS - begin)) s"

bad=0
for pid in "${callers[@]}"; do
  wait "$pid" || { bad=1; echo "demo: caller process with pid $pid failed"; }
done

printf '%-24s %8s %9s %8s %6s %7s\n' callers sent answered refused lost broken
for name in "${caller_names[@]}"; do
  out=$dir/caller-$name.out
  [[ -s $out ]] || { bad=1; echo "demo: callers $name wrote no result"; continue; }
  printf '%-24s %8s %9s %8s %6s %7s\n' "$name" "$(field sent "$out")" "$(field answered "$out")" \
    "$(field refused "$out")" "$(field lost "$out")" "$(field broken "$out")"
  for f in broken foreign mixed wrong_service; do
    if (($(field $f "$out") != 0)); then bad=1; echo "demo: $name: $f: $(field $f "$out"): $(grep -o '"causes":{[^}]*}' "$out")"; fi
  done
  if (($(field opened "$out") < $(field flows "$out"))); then
    bad=1
    echo "demo: $name: $(field opened "$out") of $(field flows "$out") flows opened: $(grep -o '"causes":{[^}]*}' "$out")"
  fi
done

double=0
for c in 0 1 2; do
  for ip in "$net.$((10 + c))".{1,2,3,4,101,102}; do
    "$standin" http --method GET "http://$ip:9001/stats" >"$dir/stats" || { bad=1; continue; }
    double=$((double + $(field double_runs "$dir/stats")))
  done
done
"$standin" http --method GET "http://$net.10.1:9001/stats" >"$dir/stats"
late=$(field openings_after_left "$dir/stats")
echo "demo: repeated runs of non-idempotent requests: $double; openings on the drained server later than 3 s after the start of its drain: $late"
if ((double != 0 || late != 0)); then bad=1; fi
if ((bad)); then fail "at least one check failed"; fi
echo "demo: passed: no flow was broken and no check failed; ${SECONDS} s"
