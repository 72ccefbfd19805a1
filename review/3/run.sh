#!/bin/sh
# Plays the day on the bench on three seeds. Exits with 1 if the rule broke on two of them, 0 if it
# held, 2 if the day could not be played.
cd "$(dirname "$0")/../.." || exit 2
system=../given/kit/more/system
broken=0
for seed in 1 2 3; do
	"$system/bin/fleetbench" run "$system/sites/apl-ho.toml" review/3/day.toml --seed "$seed" \
		--report review/3/report.json --why "review, case 3, seed $seed" >review/3/play.txt 2>&1 || exit 2
	grep -h '^QUOTA at' review/3/play.txt && broken=$((broken + 1))
done
rm -f review/3/play.txt
[ "$broken" -lt 2 ]
