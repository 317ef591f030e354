#!/bin/sh
# A standing run: plays one of the bench's scores on a clean clone of what is committed, beside this one, and brings the
# finished journal entry and a row for the roadmap back. Work in this clone goes on meanwhile.
#
#   deploy/standing.sh KIND "WHY"           KIND: full, quick, later (the mass bench), fleet, fleet-full (14 doors), sim
#   deploy/standing.sh brink SEED "WHY"     the short days with a seed
#
# KIT names the users' kit (default: ../given/kit beside this repository), CORES the cores to play on (as taskset takes
# them; default: all), SITE another site file than the kit's, one of deploy/sites: what it needs beside it is laid there
# from the kit. Exits with 2 if it can't begin, else with what the bench said.
set -eu
cd "$(dirname "$0")/.."
here=$(pwd)
kit=${KIT:-../given/kit}
kits=$kit/sites/zilina-orders.toml
site=${SITE:-$kits}
fail() { echo "standing: $*" >&2; exit 2; }
usage="usage: deploy/standing.sh full|quick|later|fleet|fleet-full|sim \"WHY\", or brink SEED \"WHY\""
kind=${1:-}
seed=
if [ "$kind" = brink ]; then
    [ $# -eq 3 ] || fail "$usage"
    seed=$2
    shift
    case $seed in
        ''|*[!0-9]*) fail "the seed '$seed' is no whole number; give one from 0 on" ;;
    esac
fi
[ $# -eq 2 ] || fail "$usage"
[ -r "$kits" ] || fail "there is no kit at $kit; name it with KIT=FOLDER (the project's own tests need none)"
case $site in
    "$kits") ;;
    deploy/sites/*/*.toml) [ -r "$site" ] || fail "there is no site file $site; name one of deploy/sites with SITE=" ;;
    *) fail "SITE=$site is none of deploy/sites/NAME/NAME.toml; put the file there and commit it" ;;
esac
[ "${#2}" -lt 120 ] || fail "the note has ${#2} characters; it must be one sentence of fewer than 120"
[ -z "$(git status --porcelain --untracked-files=no)" ] || fail "there are uncommitted changes; commit what is to be played"
case $kind in
    brink) bench=more/mass/bin/lbreal; options="--panel brink --seed $seed" ;;
    full) bench=more/mass/bin/lbreal; options= ;;
    quick) bench=more/mass/bin/lbreal; options=--quick ;;
    later) bench=more/mass/bin/lbreal; options="--panel later --quick" ;;
    fleet) bench=more/bin/lbreal; options=--quick ;;
    fleet-full) bench=more/bin/lbreal; options= ;;
    sim) bench=bin/lbsim; options=--quick ;;
    *) fail "'$kind' is none of full, quick, later, brink, fleet, fleet-full, sim" ;;
esac
# Beside this one: the kit's path, relative to a repository, is the same there.
clone=$(dirname "$here")/standing.$$
trap 'rm -rf "$clone"' EXIT
trap 'exit 2' HUP INT TERM
git clone -q . "$clone"
played=$(git -C "$clone" rev-parse --short HEAD)
if [ "$site" != "$kits" ]; then
    for beside in real.json wire.json unlock.txt; do
        cp "$kit/sites/$beside" "$clone/${site%/*}/"
        chmod u+w "$clone/${site%/*}/$beside"
    done
fi
status=0
# shellcheck disable=SC2086
(cd "$clone" && ${CORES:+taskset -c "$CORES"} "$kit/$bench" score "$site" $options --why "$2" > played.log 2>&1) || status=$?
cat "$clone/played.log"
# Only what the finished run has added; entries are never changed. One that was killed has finished none.
grep -q "^snapshot" "$clone/played.log" || { echo "standing: the run did not finish (status $status); nothing is brought back" >&2; exit 2; }
(cd "$clone" && git status --porcelain --untracked-files=all journal | cut -c4-) | while read -r entry; do
    [ -e "$here/$entry" ] || cp -p "$clone/$entry" "$here/$entry"
done
said=$(grep -E 'GATE|^ *site|score' "$clone/played.log" | tail -n 2 | tr -s ' ' | tr '\n' ';' | sed 's/;$//; s/;/; /g; s/|/,/g')
echo "| $(date -u +%F) | standing run: $kind${seed:+ seed $seed}${SITE:+ of ${site##*/}} | $said | $played: $2 |" >> docs/ROADMAP.md
git add journal docs/ROADMAP.md
echo "standing: journal and a row of docs/ROADMAP.md are staged" >&2
exit "$status"
