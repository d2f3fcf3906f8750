/**
 * Parses points in time given by operators: ISO 8601, or relative to now such as `+5m`.
 */
const UNIT_MILLISECONDS: Record<string, number> = { s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000 }
const RELATIVE_PATTERN = /^\+(\d+)([smhd])$/
const ISO_PATTERN = /^\d{4}-\d{2}-\d{2}(T\d{2}:\d{2}(:\d{2}(\.\d+)?)?(Z|[+-]\d{2}:\d{2})?)?$/

/**
 * Parses a point in time.
 * @returns milliseconds since 1970, or undefined if the text is not a valid time.
 */
export function parseTime (text: string, nowMilliseconds: number): number | undefined {
  const relative = RELATIVE_PATTERN.exec(text)
  if (relative !== null) return nowMilliseconds + Number(relative[1]) * (UNIT_MILLISECONDS[relative[2] ?? ''] ?? 0)
  if (!ISO_PATTERN.test(text)) return undefined
  const parsed = Date.parse(text)
  return Number.isNaN(parsed) ? undefined : parsed
}
