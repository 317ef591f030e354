#!/bin/sh
# A standing run: plays one of the bench's scores on a clean clone of what is committed, beside this one, and brings the
# finished journal entry and a row for the roadmap back. Work in this clone goes on meanwhile.
#
#   deploy/standing.sh KIND "WHY"    KIND: full, quick, later (the mass bench), fleet, fleet-full (14 doors), sim
#
# KIT names the users' kit (default: ../given/kit beside this repository), CORES the cores to play on (as taskset takes
# them; default: all). Exits with 2 if it can't begin, else with what the bench said.
set -eu
cd "$(dirname "$0")/.."
here=$(pwd)
kit=${KIT:-../given/kit}
site=$kit/sites/zilina-orders.toml
fail() { echo "standing: $*" >&2; exit 2; }
[ $# -eq 2 ] || fail "usage: deploy/standing.sh full|quick|later|fleet|fleet-full|sim \"WHY\""
[ -r "$site" ] || fail "there is no kit at $kit; name it with KIT=FOLDER (the project's own tests need none)"
[ "${#2}" -lt 120 ] || fail "the note has ${#2} characters; it must be one sentence of fewer than 120"
[ -z "$(git status --porcelain --untracked-files=no)" ] || fail "there are uncommitted changes; commit what is to be played"
case $1 in
    full) bench=more/mass/bin/lbreal; options= ;;
    quick) bench=more/mass/bin/lbreal; options=--quick ;;
    later) bench=more/mass/bin/lbreal; options="--panel later --quick" ;;
    fleet) bench=more/bin/lbreal; options=--quick ;;
    fleet-full) bench=more/bin/lbreal; options= ;;
    sim) bench=bin/lbsim; options=--quick ;;
    *) fail "'$1' is none of full, quick, later, fleet, fleet-full, sim" ;;
esac
# Beside this one: the kit's path, relative to a repository, is the same there.
clone=$(dirname "$here")/standing.$$
trap 'rm -rf "$clone"' EXIT
trap 'exit 2' HUP INT TERM
git clone -q . "$clone"
status=0
# shellcheck disable=SC2086
(cd "$clone" && ${CORES:+taskset -c "$CORES"} "$kit/$bench" score "$site" $options --why "$2" > played.log 2>&1) || status=$?
cat "$clone/played.log"
# Only what the finished run has added; entries are never changed.
(cd "$clone" && git status --porcelain --untracked-files=all journal | cut -c4-) | while read -r entry; do
    [ -e "$here/$entry" ] || cp -p "$clone/$entry" "$here/$entry"
done
said=$(grep -E 'GATE|^ *site|score' "$clone/played.log" | tail -n 2 | tr -s ' ' | tr '\n' ';' | sed 's/;$//; s/;/; /g; s/|/,/g')
echo "| $(date -u +%F) | standing run: $1 | $said | $(git rev-parse --short HEAD): $2 |" >> docs/ROADMAP.md
git add journal docs/ROADMAP.md
echo "standing: journal and a row of docs/ROADMAP.md are staged" >&2
exit "$status"
