# Fits a plane by least squares to rows of numbers, the last one the value and
# the others what it depends on. The header line names them. Prints the constant,
# each slope, the residual (root mean square) and the part that is explained.
NR == 1 { for (i = 1; i <= NF; i++) name[i] = $i; width = NF; next }
{
  rows++
  x[0] = 1
  for (i = 1; i < width; i++) x[i] = $i
  for (i = 0; i < width; i++) {
    for (j = 0; j < width; j++) a[i, j] += x[i] * x[j]
    a[i, width] += x[i] * $width
  }
  for (i = 1; i <= width; i++) row[rows, i] = $i
  sum += $width
}
END {
  for (p = 0; p < width; p++) {
    if (a[p, p] < 1e-9) { print "too few sizes to fit " name[width] > "/dev/stderr"; exit 1 }
    for (i = 0; i < width; i++) {
      if (i == p) continue
      f = a[i, p] / a[p, p]
      for (j = p; j <= width; j++) a[i, j] -= f * a[p, j]
    }
  }
  for (i = 0; i < width; i++) slope[i] = a[i, width] / a[i, i]
  for (r = 1; r <= rows; r++) {
    fitted = slope[0]
    for (i = 1; i < width; i++) fitted += slope[i] * row[r, i]
    residual += (row[r, width] - fitted) ^ 2
    spread += (row[r, width] - sum / rows) ^ 2
  }
  printf "%s = %.4g", name[width], slope[0]
  for (i = 1; i < width; i++) printf " %s %.4g*%s", (slope[i] < 0 ? "-" : "+"), (slope[i] < 0 ? -slope[i] : slope[i]), name[i]
  printf "  (rows %d, residual %.3g, explained %.3f)\n", rows, sqrt(residual / rows), (spread > 0 ? 1 - residual / spread : 1)
}
