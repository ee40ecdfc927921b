#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../target/gypsumhook ] || exit 2
exec ../bin/standin term ../../target/gypsumhook record.txt
