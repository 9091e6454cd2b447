#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case.sh" ForeignEntry 3
