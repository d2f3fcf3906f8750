/**
 * Renders the burn report as one self-contained HTML page with SVG plots, without scripts or external files.
 */
import { BURN_SERIES_STEP_MINUTES, BURN_WINDOWS_MINUTES, burnRate } from '@wigeonlead/protocol'
import { BurnState, describeObjective, formatWindow, type FleetBurn, type FleetReport } from './report.js'

const PLOT_WIDTH = 640
const PLOT_HEIGHT = 120
const PLOT_MARGIN = 34
/** Burn rate at which a plot's vertical axis ends if no rate is higher; higher rates extend the axis. */
const MIN_TOP_RATE = 2

const STATE_COLOURS: Record<BurnState, string> = {
  [BurnState.Within]: '#1b7f3b',
  [BurnState.Slow]: '#b26a00',
  [BurnState.Fast]: '#b3261e'
}

const STYLE = `
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem; padding: 0 1rem; color: #1c1c1c; background: #fff }
table { border-collapse: collapse; margin: 1rem 0 } th, td { text-align: left; padding: .25rem .8rem .25rem 0; border-bottom: 1px solid #ddd }
td.number { text-align: right; font-variant-numeric: tabular-nums } svg { max-width: 100%; height: auto } .missing { color: #b3261e }
`

/** Renders the HTML page of a report. */
export function renderReportPage (report: FleetReport): string {
  const at = new Date(report.atMilliseconds).toISOString()
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>wigeonlead: service-level burn</title><style>${STYLE}</style></head><body>
<h1>Service-level burn</h1>
<p>${at}. Entry VMs that answered: ${escapeText(report.reached.join(', ') || 'none')}.</p>
${renderUnreachable(report)}
${report.objectives.length === 0 ? '<p>No event was counted for any objective in the last 6 h.</p>' : renderTable(report.objectives)}
${report.objectives.map(renderPlot).join('\n')}
<p>A burn rate of 1 uses up the error budget exactly at the end of its period.</p>
</body></html>
`
}

function renderUnreachable ({ unreachable }: FleetReport): string {
  if (unreachable.length === 0) return ''
  const items = unreachable.map(({ address, reason }) => `<li>${escapeText(address)}: ${escapeText(reason)}</li>`)
  return `<p class="missing">Could not be reached, not counted here:</p><ul class="missing">${items.join('')}</ul>`
}

function renderTable (objectives: FleetBurn[]): string {
  const headings = ['Resource', 'Objective', 'Wanted', ...BURN_WINDOWS_MINUTES.map(formatWindow), 'State'].map(heading => `<th>${heading}</th>`)
  const rows = objectives.map(burn => {
    const cells = [`${burn.resource} ${burn.name}`, burn.objective, describeObjective(burn)].map(cell => `<td>${escapeText(cell)}</td>`)
    const rates = burn.rates.map(rate => `<td class="number">${rate.toFixed(2)}</td>`)
    return `<tr>${[...cells, ...rates].join('')}<td style="color:${STATE_COLOURS[burn.state]}">${burn.state}</td></tr>`
  })
  return `<table><thead><tr>${headings.join('')}</tr></thead><tbody>${rows.join('')}</tbody></table>`
}

function renderPlot (burn: FleetBurn): string {
  const rates = burn.series.map(counts => burnRate(counts, burn.share))
  const topRate = Math.max(MIN_TOP_RATE, ...rates)
  const x = (index: number): number => PLOT_MARGIN + index * (PLOT_WIDTH - PLOT_MARGIN) / Math.max(1, rates.length - 1)
  const y = (rate: number): number => PLOT_HEIGHT - PLOT_MARGIN / 2 - rate / topRate * (PLOT_HEIGHT - PLOT_MARGIN)
  const points = rates.map((rate, index) => `${x(index).toFixed(1)},${y(rate).toFixed(1)}`).join(' ')
  const hours = burn.series.length * BURN_SERIES_STEP_MINUTES / 60
  const title = `${burn.resource} ${burn.name}: ${burn.objective}, ${describeObjective(burn)}`
  return `<h2>${escapeText(title)}</h2>
<svg viewBox="0 0 ${PLOT_WIDTH} ${PLOT_HEIGHT}" width="${PLOT_WIDTH}" height="${PLOT_HEIGHT}" role="img" aria-label="${escapeText(title)}">
<line x1="${PLOT_MARGIN}" x2="${PLOT_WIDTH}" y1="${y(1).toFixed(1)}" y2="${y(1).toFixed(1)}" stroke="#999" stroke-dasharray="4 3"/>
<line x1="${PLOT_MARGIN}" x2="${PLOT_WIDTH}" y1="${y(0)}" y2="${y(0)}" stroke="#ccc"/>
<polyline points="${points}" fill="none" stroke="${STATE_COLOURS[burn.state]}" stroke-width="1.5"/>
<g font-size="11" fill="#555"><text x="0" y="${(y(topRate) + 4).toFixed(1)}">${topRate.toFixed(1)}</text><text x="0" y="${(y(1) + 4).toFixed(1)}">1</text>
<text x="${PLOT_MARGIN}" y="${PLOT_HEIGHT - 2}">${hours} h ago</text><text x="${PLOT_WIDTH}" y="${PLOT_HEIGHT - 2}" text-anchor="end">now</text></g>
</svg>`
}

function escapeText (text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;').replace(/>/g, '&gt;').replace(/"/g, '&quot;')
}
