#!/usr/bin/env bash
# A router is stopped during unframed streams; with TROUBLE=0 it keeps running.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
