#!/usr/bin/env bash
# An engine sends interim response heads without end; with TROUBLE=0 it is sound.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
