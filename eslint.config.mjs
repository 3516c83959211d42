import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**", "**/node_modules/**"] },
    ...tseslint.configs.recommended,
    {
        languageOptions: {
            parserOptions: {
                projectService: { allowDefaultProject: ["*.mjs", "scripts/*.mjs", "scripts/*.cjs"] },
                tsconfigRootDir: import.meta.dirname,
            },
        },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a constant object and a type of its values." },
                { selector: "Literal[raw='null']", message: "Use undefined." },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/await-thenable": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
        },
    },
    {
        files: ["**/*.cjs"],
        rules: { "@typescript-eslint/no-require-imports": "off" },
    },
    {
        files: ["**/__tests__/**"],
        rules: { "@typescript-eslint/no-unused-expressions": "off" },
    },
);
