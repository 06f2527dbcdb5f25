#!/usr/bin/env bash
# Exits with 1 if a work item ran twice, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")"
exec python3 case.py
