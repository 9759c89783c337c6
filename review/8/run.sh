#!/usr/bin/env bash
# Plays case 8. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
exec target/review/kit2 -case midway -record "$folder/record.txt"
