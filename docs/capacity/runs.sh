#!/bin/sh
# Makes the data of docs/CAPACITY.md again: one run a file, one thing moved at a time. From the workspace's root,
# after npm ci and npm run build. With "large" also the runs of 256 and 1,100 nodes, which take the longest.
set -e
out=docs/capacity
run() { name=$1; shift; npm run -s testbed -- hollow "$@" --json "$out/$name.json" > /dev/null; }

nodes="--replicas 9 --zones 26 --regions 7 --origins 21 --services 2 --routes 20 --purges 0 --warm 2 --seconds 2 --probes 1"
for n in 16 64; do run nodes-$n $nodes --nodes $n; done
# How much of gossip is the start: the same 64 nodes, counted later.
run warm-15 --replicas 9 --zones 26 --regions 7 --origins 21 --services 2 --routes 20 --purges 0 --warm 15 --seconds 4 --probes 0 --nodes 64
if [ "$1" = large ]; then
  run nodes-256 $nodes --nodes 256 --processes 2
  run members-1100 $nodes --nodes 1100 --proxies 55 --processes 3
fi

base="--nodes 32 --replicas 9 --zones 12 --regions 4 --warm 2 --seconds 2 --probes 1"
for o in 7 70 210; do run origins-$o $base --routes 20 --origins $o --services 2 --purges 0; done
for s in 2 8 25; do run services-$s $base --routes 20 --origins 50 --services $s --purges 0; done
for t in 20 1000 4000; do run routes-$t $base --origins 21 --services 2 --purges 0 --routes $t; done
for p in 0.5 2 7.4; do run purges-$p $base --routes 20 --origins 21 --services 2 --purges $p; done
for a in 3 5; do run replicas-$a --nodes 32 --replicas $a --zones 12 --regions 4 --warm 2 --seconds 2 --probes 1 --routes 20 --origins 21 --services 2 --purges 0; done
run replicas-9 $base --routes 20 --origins 21 --services 2 --purges 0
# Each node holds a vector of each, with a delay to each.
for n in 16 32 48; do run vectors-$n --nodes $n --objects 4 --replicas 3 --zones 12 --regions 4 --routes 20 --origins 21 --services 2 --purges 0 --warm 2 --seconds 2 --probes 1; done
node packages/testbed/dist/part-costs.js > "$out/parts.json"
npm run -s testbed -- slopes "$out"
