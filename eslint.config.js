import neostandard from 'neostandard'

export default [
  { ignores: ['**/dist/**', '**/target/**', '**/generated/**', '**/data/**'] },
  ...neostandard({ ts: true }),
  {
    rules: {
      // An abstract class declares what its subclasses construct.
      'no-useless-constructor': 'off',
      // A constant object and the type of its values share one name.
      '@typescript-eslint/no-redeclare': 'off',
      'no-redeclare': 'off'
    }
  }
]
