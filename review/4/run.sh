#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case.sh" HopelessGang 4
