#!/usr/bin/env bash
# Plays case 3; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/scenario --case shared-token --binary target/cuminshift-gateway --record review/3/record.txt
