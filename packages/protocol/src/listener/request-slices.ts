/**
 * Cuts what a client sends into slices for the parser, so that a client that sends requests ahead has only a few of them parsed.
 */

/** Longest slice, bytes. A slice without a whole head can hold only short requests. */
export const SLICE_BYTES = 1024
const END_OF_HEAD = Buffer.from('\r\n\r\n')

/**
 * @param bytes what the parser has not had yet.
 * @param bodyBytes how many of these are known to belong to the body of the present request.
 * @returns the length of the next slice: it ends with the known part of a body, with the first head, or at the size limit.
 */
export function nextSliceLength (bytes: Buffer, bodyBytes: number): number {
  if (bodyBytes > 0) return Math.min(bytes.length, bodyBytes)
  const end = bytes.indexOf(END_OF_HEAD)
  if (end >= 0 && end + END_OF_HEAD.length <= SLICE_BYTES) return end + END_OF_HEAD.length
  return Math.min(bytes.length, SLICE_BYTES)
}
