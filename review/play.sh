#!/bin/sh
# play.sh CASE FOLDER: plays one case of the stand-in and leaves record.txt in FOLDER. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/.." && pwd)
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$here/bin/standin" ] || [ ! -x "$root/target/release/craneknot" ] || [ -z "$run" ]; then
  echo "build first: the deploy file's build, then review/build.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
pid=
clean_up() {
  [ -z "$pid" ] || kill "$pid" 2>/dev/null
  if [ -f "$folder/pids" ]; then
    while read -r started; do kill -9 "$started" 2>/dev/null; done <"$folder/pids"
  fi
  rm -rf "$folder"
}
trap 'clean_up; exit 2' HUP INT TERM
rm -f "$2/record.txt"
"$here/bin/standin" "$1" "$run" "$root" "$folder" "$2/record.txt" "${TROUBLE:-1}" &
pid=$!
wait "$pid"
status=$?
pid=
clean_up
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
