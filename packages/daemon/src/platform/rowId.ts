/** Identifies a row within the table service; the separator occurs in no table name. */
export function rowId (row: { readonly table: string, readonly key: string }): string {
  return `${row.table}\n${row.key}`
}
