# Plots a data file of the routing bench. Needs the variables data and picture.
set terminal pngcairo size 1400,1000
set output picture
set style data histogram
set style fill solid 0.8
set logscale y
set grid ytics
set xtics rotate by -60 font ",8"
set multiplot layout 2,1
set title "p95 slowdown of requests under 4k tokens"
plot data using 8:xtic(sprintf("%s %s %s", strcol(1), strcol(2), strcol(3))) title "slowdown"
set title "p95 first token of prompts of 100k tokens and more (s)"
plot data using 7:xtic(sprintf("%s %s %s", strcol(1), strcol(2), strcol(3))) title "first token"
unset multiplot
