#!/usr/bin/env bash
folder="$(dirname "${BASH_SOURCE[0]}")"
exec bash "$folder/../case.sh" "$folder" failed-as-refused
