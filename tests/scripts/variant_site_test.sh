#!/bin/bash
# What scripts/variant-site makes of a site and a list of changes, right and wrong: variant_site_test.sh VARIANT-SITE
set -euo pipefail
run=$1
work=$(mktemp -d)
name=test-$$
trap 'rm -rf "$work" "$(dirname "$run")/../build-sites/$name"' EXIT
touch "$work/real.json" "$work/wire.json" "$work/unlock.txt"
cat >"$work/site.toml" <<'SITE'
name = "ours"

[clients]
retries = [1, 2]

[[class]]
name = "first"
effect = "safe"

[[class]]
name = "second"
effect = "unsafe"
SITE

make() {
  printf '%s\n' "$@" >"$work/changes"
  "$run" "$work/site.toml" "$name" "$work/changes"
}

# wrong TEXT [LINE...]: such a list ends with 2 and one line with this text, and nothing is made.
wrong() {
  local text=$1 got=0
  shift
  make "$@" >"$work/out" 2>&1 || got=$?
  if [ "$got" != 2 ] || [ "$(wc -l <"$work/out")" != 1 ] || ! grep -qF -- "$text" "$work/out"; then
    echo "with '$*': ended with $got, expected 2 and '$text' in:"
    cat "$work/out"
    exit 1
  fi
  [ ! -e "$(dirname "$run")/../build-sites/$name" ]
}

wrong 'class third names 0 tables' '[[class]] third' 'effect = "safe"'
wrong 'class  names 2 tables' '[[class]]' 'effect = "safe"'
wrong "no key 'retry'" '[clients]' 'retry = 1'
wrong "has a key 'retries'" '[clients]' '+ retries = 1'
wrong "neither a table's head nor a key" 'retries'
wrong "neither a table's head nor a key" 'retries = 1'
rm "$work/wire.json"
wrong 'wire.json: no such file' '[clients]' 'retries = 1'
touch "$work/wire.json"

made=$(make '# ours' '[clients]' 'retries = 0' '[[class]] second' 'name = "last"' 'effect = "keyed"' '+ window_ms = 9' \
  '[[class]] #1' 'effect = "unsafe"' '+ [[tenant]] acme' 'share = 2')
diff "$made" - <<SITE
name = "$name"

[clients]
retries = 0

[[class]]
name = "first"
effect = "unsafe"

[[class]]
window_ms = 9
name = "last"
effect = "keyed"

[[tenant]]
name = "acme"
share = 2
SITE
for other in real.json wire.json unlock.txt; do [ -e "$(dirname "$made")/$other" ]; done
