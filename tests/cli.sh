#!/bin/sh
# Runs the program with valid and invalid arguments, configurations and options, and prints its output and exit
# status for comparison with tests/traces/cli.txt. Argument: the program.
set -u
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
cd "$folder" || exit 1
says() {
  echo "\$ cairnhub $*"
  "$program" "$@" 2>&1
  echo "exit $?"
}
program=$1
unset RELAY_CONFIG CAIRNHUB_OPTIONS
cat > good.json <<'J'
{"listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":256},
 "settings":{"classes":[{"name":"all","promise":1,"deadline":2,"effect":"free"},
 {"name":"once","promise":1,"deadline":2,"effect":"single_shot"}],
 "family-info":{"positions":2,"ranges":2,"width":1},"tick":0.005}}
J
sed 's/"promise":1/"promise":"soon"/' good.json > late.json
sed 's/127.0.0.1:8500/nowhere/' good.json > nowhere.json
echo 'two_phase { op_type { name: "all" } }' > good.txtpb
echo 'two_phase { op_type { name: "once" } }' > once.txtpb
printf 'two_phase {\n  op_type {\n    name: "all"\n    pages: 3\n  }\n}\n' > unknown.txtpb
echo "1 $(printf '%064d' 1)" > key
fleet() {  # prints fleet options with these zones; second argument "alone": without accord
  printf 'fleet {\n  name: "b0"\n  listen: "127.0.0.1:9100"\n  key_file: "key"\n'
  [ "${2:-}" = alone ] || printf '  accord { voter: "b0" }\n'
  printf '  zones {\n%s\n  }\n}\n' "$1"
}
fleet '    home: "a" zone { name: "a" } zone { name: "b" host_parts_a_second: 400 }' > zones.txtpb
fleet '    home: "c" zone { name: "a" } zone { name: "b" }' > homeless.txtpb
fleet '    home: "a" zone { name: "a" }' > one.txtpb
fleet '    home: "a"
    zone { name: "a" }
    zone { name: "a" }' > twice.txtpb
fleet '    home: "a" zone { name: "a" } zone { name: "b" host_parts_a_second: -1 }' > less.txtpb
fleet '    home: "a" zone { name: "a" } zone { name: "b" } stay_in_region: "none"' > stays.txtpb
fleet '    home: "a" zone { name: "a" } zone { name: "b" }' alone > alone.txtpb
printf 'fleet {\n  name: "b0"\n  listen: "127.0.0.1:9100"\n  key_file: "key"\n  accord {\n    voter: "b0"\n    voter: "b0"\n  }\n}\n' > even.txtpb
says version
says check good.json good.txtpb
says check good.txtpb
says check good.json once.txtpb late.json nowhere.json unknown.txtpb missing.json
says check good.json zones.txtpb homeless.txtpb one.txtpb twice.txtpb less.txtpb stays.txtpb alone.txtpb even.txtpb
says check
says serve --speed 3
says
says --config late.json
says --config good.json --options once.txtpb
says check --help
