#!/usr/bin/env bash
# Plays the second form of case 1; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/scenario --case restored-store --binary target/cuminshift-gateway --record review/1/record.txt
