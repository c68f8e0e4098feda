#!/usr/bin/env bash
exec "$(dirname "$0")/../standin/run.sh" cancel "review/2"
