/**
 * Renders an experiment's results as an SVG bar chart: one group of bars per row label, one bar per series.
 */
import type { ExperimentPlot } from './experiment.js'

const WIDTH = 760
const HEIGHT = 360
const MARGIN = { left: 70, right: 20, top: 40, bottom: 70 }
const COLOURS = ['#1b6ca8', '#b5651d', '#6a8d3f', '#8e5ea2', '#7a7a7a', '#c44545']
const TICKS = 4
const LEGEND_WIDTH = 140

/** @returns a plot as a self-contained SVG document. */
export function renderPlot ({ title, unit, groups, series }: ExperimentPlot): string {
  const maximum = Math.max(1e-9, ...series.flatMap(({ values }) => values))
  const plotArea = { width: WIDTH - MARGIN.left - MARGIN.right, height: HEIGHT - MARGIN.top - MARGIN.bottom }
  const groupWidth = plotArea.width / Math.max(1, groups.length)
  const barWidth = groupWidth * 0.8 / Math.max(1, series.length)
  const barHeight = (value: number): number => plotArea.height * value / maximum
  const bars = series.flatMap(({ values }, position) => values.map((value, group) => {
    const x = MARGIN.left + group * groupWidth + groupWidth * 0.1 + position * barWidth
    const y = MARGIN.top + plotArea.height - barHeight(value)
    return `<rect x="${x.toFixed(1)}" y="${y.toFixed(1)}" width="${barWidth.toFixed(1)}" height="${barHeight(value).toFixed(1)}" fill="${COLOURS[position % COLOURS.length]}"/>`
  }))
  const labels = groups.map((group, position) =>
    renderText(MARGIN.left + (position + 0.5) * groupWidth, HEIGHT - MARGIN.bottom + 18, group, 'middle'))
  const ticks = Array.from({ length: TICKS + 1 }, (_, tick) => {
    const y = MARGIN.top + plotArea.height * (1 - tick / TICKS)
    return `<line x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${y}" y2="${y}" stroke="#ddd"/>` +
      renderText(MARGIN.left - 6, y + 4, (maximum * tick / TICKS).toPrecision(3), 'end')
  })
  const legend = series.map(({ name }, position) => {
    const x = MARGIN.left + position * LEGEND_WIDTH
    return `<rect x="${x}" y="${HEIGHT - 24}" width="10" height="10" fill="${COLOURS[position % COLOURS.length]}"/>` + renderText(x + 14, HEIGHT - 15, name, 'start')
  })
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif" font-size="11">`,
    '<rect width="100%" height="100%" fill="#fff"/>',
    renderText(MARGIN.left, 20, `${title} (${unit})`, 'start'),
    ...ticks, ...bars, ...labels, ...legend,
    '</svg>'
  ].join('\n') + '\n'
}

function renderText (x: number, y: number, content: string, anchor: string): string {
  const escaped = content.replace(/&/g, '&amp;').replace(/</g, '&lt;')
  return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="${anchor}">${escaped}</text>`
}
