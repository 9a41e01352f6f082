#!/usr/bin/env bash
# Requests have very many short fields; with TROUBLE=0 they have few.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
