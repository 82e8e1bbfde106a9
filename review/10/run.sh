#!/bin/bash
# Runs the case; see claim.txt. With TROUBLE=0, without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && exec python3 case.py
