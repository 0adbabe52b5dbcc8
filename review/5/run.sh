#!/bin/sh
# Plays the case "limit".
exec "$(dirname "$0")/../play.sh" limit 5
