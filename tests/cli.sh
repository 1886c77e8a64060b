#!/bin/sh
# The command line: what it prints and its exit status. Argument: the program.
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
says version
says check good.json good.txtpb
says check good.txtpb
says check good.json once.txtpb late.json nowhere.json unknown.txtpb missing.json
says check
says serve --speed 3
says
says --config late.json
says --config good.json --options once.txtpb
says check --help
