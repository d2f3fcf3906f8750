/**
 * The shape of an experiment of `npm run bench`.
 */

/** A cell of a result table. */
export type Cell = string | number

/** Figures for a plot: one value a group in each series. */
export interface ExperimentPlot {
  title: string
  unit: string
  groups: string[]
  series: Array<{ name: string, values: number[] }>
}

/** The result of an experiment: rows under named columns, with the units in the names. */
export interface ExperimentResult {
  columns: string[]
  rows: Cell[][]
  /** What the figures say against the goals, one line each. */
  notes: string[]
  /** Data beside the table, such as fits and the machine's load; kept in the file, not printed. */
  details?: Record<string, unknown>
  plot?: ExperimentPlot
}

/** Options of a run. */
export interface ExperimentOptions {
  seed: number
  /** Shorter runs, for a look rather than for a record. */
  quick: boolean
}

/** An experiment. */
export interface Experiment {
  summary: string
  run: (options: ExperimentOptions) => Promise<ExperimentResult>
}
