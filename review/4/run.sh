#!/usr/bin/env bash
folder="$(dirname "${BASH_SOURCE[0]}")"
exec bash "$folder/../case.sh" "$folder" crashing-request-restart
