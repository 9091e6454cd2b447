#!/usr/bin/env bash
exec bash "$(dirname "$0")/../run-3.sh" CancelBeforeAnswer "$(dirname "$0")"
