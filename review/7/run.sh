#!/usr/bin/env bash
# Plays case 7. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
exec target/review/kit2 -case notice -record "$folder/record.txt"
